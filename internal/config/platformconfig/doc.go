// Package platformconfig reads what the platform tells a router of `notchhinge serve`: the JSON file that the environment
// variable BALANCER_CONFIG names, and the BALANCER_* variables that override it. From both it derives the limits of the
// process (package limits). It also reads the operator's own file and the deprecated file of the batch service, since both are
// checked against the platform's request classes.
//
// The file's "settings" object is the platform's for every router, simulated or not: package wire parses what the decision
// module needs of it, and this package the rest. Times in it are in microseconds. Unknown keys are ignored, because the
// platform adds some.
//
// A [Config] that is returned has been checked. Errors name the file and the first key that is wrong.
package platformconfig
