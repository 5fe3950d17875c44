/** Classes that violate the architecture on purpose; only {@code ArchitectureTest} reads them. */
package pearladder.routing.violation;
