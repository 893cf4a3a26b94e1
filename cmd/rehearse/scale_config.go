package main

// configScaleParts are the parts of the scale run that measure configuration, start and RPCs.
var configScaleParts []scalePart
