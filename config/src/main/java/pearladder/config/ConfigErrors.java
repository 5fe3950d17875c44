package pearladder.config;

import java.util.ArrayList;
import java.util.List;

/** The mistakes found in one file; all of them are collected before anything starts. */
public final class ConfigErrors {
    /** One mistake: where it stands, what is wrong and how it is mended. */
    public record Mistake(String file, int line, String key, String what, String mend) {
        @Override
        public String toString() {
            return file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + what + "; " + mend;
        }
    }

    /** Thrown when a file has mistakes; the message has a line for each. */
    public static final class Found extends RuntimeException {
        private static final long serialVersionUID = 1L;
        private final transient List<Mistake> list;

        Found(List<Mistake> list) {
            super(String.join("\n", list.stream().map(Mistake::toString).toList()));
            this.list = List.copyOf(list);
        }

        public List<Mistake> list() {
            return list;
        }
    }

    final String file;
    private final List<Mistake> list = new ArrayList<>();

    ConfigErrors(String file) {
        this.file = file;
    }

    void add(int line, String key, String what, String mend) {
        list.add(new Mistake(file, line, key, what, mend));
    }

    /** Throws {@link Found} if there is any mistake. */
    public void raise() {
        if (!list.isEmpty()) {
            list.sort((a, b) -> Integer.compare(a.line(), b.line()));
            throw new Found(list);
        }
    }
}
