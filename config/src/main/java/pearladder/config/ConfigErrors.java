package pearladder.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Collects the mistakes of one file, so that all of them are reported at once. */
public final class ConfigErrors {
    /**
     * A mistake in a file.
     *
     * @param file its name
     * @param line from 1
     * @param key with its parents, separated by dots; empty for the whole file
     * @param what is wrong
     * @param mend what to do
     */
    public record Mistake(String file, int line, String key, String what, String mend) {
        @Override
        public String toString() {
            return file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + what + "; " + mend;
        }
    }

    /** Thrown when a file has mistakes; the message has a line for each. */
    public static final class ConfigException extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final transient List<Mistake> mistakes;

        ConfigException(List<Mistake> mistakes) {
            super(String.join("\n", mistakes.stream().map(Mistake::toString).toList()));
            this.mistakes = List.copyOf(mistakes);
        }

        /** The mistakes, sorted by line. */
        public List<Mistake> mistakes() {
            return mistakes;
        }
    }

    final String file;
    private final List<Mistake> mistakes = new ArrayList<>();

    ConfigErrors(String file) {
        this.file = file;
    }

    void add(int line, String key, String what, String mend) {
        mistakes.add(new Mistake(file, line, key, what, mend));
    }

    /** Throws {@link RestartState} if there is any mistake. */
    public void raise() {
        if (!mistakes.isEmpty()) {
            mistakes.sort(Comparator.comparingInt(Mistake::line));
            throw new ConfigException(mistakes);
        }
    }
}
