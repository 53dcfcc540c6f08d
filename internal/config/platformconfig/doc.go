// Package platformconfig reads the platform's configuration of a router (`notchhinge serve`): the JSON file that the environment
// variable BALANCER_CONFIG names, and the BALANCER_* variables that override it. From both it derives the limits of the process
// (package limits). It also reads the operator's own file and the deprecated file of the batch service, because both are checked
// against the platform's request classes.
//
// The file's "settings" object is the same for production and simulated routers: package simadapter parses the part for the
// decision module, and this package the rest. Times in it are in microseconds. Unknown keys are ignored, because the platform may
// add some.
//
// A returned [Config] has been checked. Errors name the file and the first invalid key.
package platformconfig
