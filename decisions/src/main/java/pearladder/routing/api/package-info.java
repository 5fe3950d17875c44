/** What a router tells its policy and what the policy answers: events, actions and the settings stated at the start. */
package pearladder.routing.api;
