/**
 * Checked YAML configuration: {@link pearladder.config.YamlParser} parses a file into
 * {@link pearladder.config.ConfigValue}s, whose readers collect every mistake with its line and key.
 */
package pearladder.config;
