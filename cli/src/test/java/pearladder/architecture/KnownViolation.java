package pearladder.architecture;

/**
 * A forbidden import that existed before the rule.
 *
 * @param from the module that imports
 * @param to the module that is imported
 * @param reason what is imported, and why it is still there
 */
record KnownViolation(Layer from, Layer to, String reason) {}
