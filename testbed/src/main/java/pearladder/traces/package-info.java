/**
 * Public cluster traces in CSV: each published layout read row by row into requests (arrival, model, size, work), put
 * in order within a stated window, with every row that is left out counted and reported. docs/traces.md has the
 * columns.
 */
package pearladder.traces;
