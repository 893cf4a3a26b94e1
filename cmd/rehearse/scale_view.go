package main

// viewScaleParts are the parts of the scale run that measure the view.
var viewScaleParts []scalePart
