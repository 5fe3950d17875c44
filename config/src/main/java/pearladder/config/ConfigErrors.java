package pearladder.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the errors in one file, so that all of them are reported at once. */
public final class ConfigErrors {
    /**
     * An error in a configuration file.
     *
     * @param file name of the file
     * @param line line number, from 1
     * @param key the key with its parent keys, separated by dots; empty for the whole file
     * @param problem what is wrong
     * @param remedy how to correct it
     */
    public record ConfigError(String file, int line, String key, String problem, String remedy) {
        @Override
        public String toString() {
            return file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + problem + "; " + remedy;
        }
    }

    /** Thrown when a file has errors; the message has a line for each. */
    public static final class ConfigException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final transient List<ConfigError> errors;

        ConfigException(List<ConfigError> errors) {
            super(String.join("\n", errors.stream().map(ConfigError::toString).toList()));
            this.errors = List.copyOf(errors);
        }

        /** Returns the errors, sorted by line. */
        public List<ConfigError> errors() {
            return errors;
        }
    }

    final String file;
    private final List<ConfigError> errors = new ArrayList<>();

    ConfigErrors(String file) {
        this.file = file;
    }

    void add(int line, String key, String problem, String remedy) {
        errors.add(new ConfigError(file, line, key, problem, remedy));
    }

    /** Throws a {@link ConfigException} if there is any error. */
    public void throwIfAny() {
        if (!errors.isEmpty()) {
            errors.sort(Comparator.comparingInt(ConfigError::line));
            throw new ConfigException(errors);
        }
    }
}
