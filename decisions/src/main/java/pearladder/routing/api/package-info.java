/** The interface of a routing policy: the events it handles, the actions it decides, and its settings. */
package pearladder.routing.api;
