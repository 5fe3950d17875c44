/**
 * Validated YAML configuration: {@link pearladder.config.YamlParser} parses a file into
 * {@link pearladder.config.ConfigValue}s, whose accessors collect all errors with line and key.
 */
package pearladder.config;
