package main

// roleScaleParts are the parts of the scale run that measure elected roles and quotas.
var roleScaleParts []scalePart
