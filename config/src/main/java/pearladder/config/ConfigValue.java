package pearladder.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Function;

/**
 * A value of a checked file. Reading a wrong one notes a mistake and goes on with the default, so that one pass finds
 * them all; {@link #done} then names keys that nobody read and throws.
 */
public final class ConfigValue {
    private static final Map<String, Double> SECONDS =
            Map.of("us", 1e-6, "ms", 1e-3, "s", 1.0, "min", 60.0, "h", 3600.0);
    private static final Map<String, Double> BYTES = Map.of("B", 1.0, "KB", 1e3, "MB", 1e6, "GB", 1e9);

    private final ConfigErrors mistakes;
    private final String path;
    private final int line;
    private final Object raw;
    private final Set<String> read = new HashSet<>();
    private final Map<String, ConfigValue> missing = new LinkedHashMap<>();

    ConfigValue(ConfigErrors mistakes, String path, int line, Object raw) {
        this.mistakes = mistakes;
        this.path = path;
        this.line = line;
        this.raw = raw;
    }

    Object raw() {
        return raw;
    }

    public String path() {
        return path;
    }

    public int line() {
        return line;
    }

    public boolean given() {
        return raw != null;
    }

    /** Notes a mistake at this value. */
    public void wrong(String what, String mend) {
        mistakes.add(line, path, what, mend);
    }

    private Map<?, ?> map() {
        if (raw == null) {
            return Map.of();
        }
        if (raw instanceof Map<?, ?> map) {
            return map;
        }
        wrong("keys and values were expected", "write \"key: value\" lines, indented below " + name());
        return Map.of();
    }

    private String name() {
        return path.isEmpty() ? "the file" : path;
    }

    /** The value under a key; one that is not there has no raw value and this value's line. */
    public ConfigValue at(String key) {
        read.add(key);
        Object inner = map().get(key);
        if (inner instanceof ConfigValue value) {
            return value;
        }
        return missing.computeIfAbsent(
                key, k -> new ConfigValue(mistakes, path.isEmpty() ? k : path + "." + k, line, null));
    }

    /** The keys in the order they stand. */
    public List<String> keys() {
        return map().keySet().stream().map(Object::toString).toList();
    }

    /** Reads each value of a map with its key, in the order they stand. */
    public <T> Map<String, T> eachKey(BiFunction<String, ConfigValue, T> reading) {
        Map<String, T> values = new LinkedHashMap<>();
        for (String key : keys()) {
            values.put(key, reading.apply(key, at(key)));
        }
        return values;
    }

    /** Reads each value of a list; a missing list is empty. */
    public <T> List<T> each(Function<ConfigValue, T> reading) {
        if (raw == null) {
            return List.of();
        }
        if (!(raw instanceof List<?> list)) {
            wrong("a list was expected", "write \"- \" before each entry");
            return List.of();
        }
        List<T> values = new ArrayList<>();
        for (Object inner : list) {
            values.add(reading.apply((ConfigValue) inner));
        }
        return values;
    }

    private String scalar() {
        if (raw instanceof String text) {
            return text;
        }
        wrong(
                raw == null ? "a value is missing" : "a single value was expected",
                "write it behind \"" + name() + ": \"");
        return null;
    }

    /** A text that must be there. */
    public String text() {
        String text = scalar();
        return text == null ? "" : text;
    }

    public String text(String otherwise) {
        return raw == null ? otherwise : text();
    }

    /** A number within bounds. */
    public double number(double least, double most) {
        String text = scalar();
        if (text == null) {
            return least;
        }
        try {
            double number = Double.parseDouble(text);
            if (number >= least && number <= most) {
                return number;
            }
            wrong("a number from " + plain(least) + " to " + plain(most) + " was expected, not " + text, "change it");
        } catch (NumberFormatException none) {
            wrong("a number was expected, not \"" + text + "\"", "write a number without a unit");
        }
        return least;
    }

    public double number(double otherwise, double least, double most) {
        return raw == null ? otherwise : number(least, most);
    }

    /** A whole number within bounds. */
    public int whole(int least, int most) {
        double number = number(least, most);
        if (number != Math.rint(number)) {
            wrong("a whole number was expected", "leave out what stands behind the point");
        }
        return (int) number;
    }

    public int whole(int otherwise, int least, int most) {
        return raw == null ? otherwise : whole(least, most);
    }

    public boolean flag(boolean otherwise) {
        if (raw == null) {
            return otherwise;
        }
        String text = scalar();
        if ("true".equals(text) || "false".equals(text)) {
            return "true".equals(text);
        }
        wrong("true or false was expected", "write one of the two");
        return otherwise;
    }

    private double unit(Map<String, Double> units, String what, String example) {
        String text = scalar();
        if (text == null) {
            return 0;
        }
        String trimmed = text.trim();
        int at = 0;
        while (at < trimmed.length() && (Character.isDigit(trimmed.charAt(at)) || trimmed.charAt(at) == '.')) {
            at++;
        }
        Double unit = units.get(trimmed.substring(at).trim());
        try {
            double number = Double.parseDouble(trimmed.substring(0, at));
            if (unit != null) {
                return number * unit;
            }
            wrong(what + " with its unit was expected, not \"" + text + "\"", "write for example \"" + example + "\"");
        } catch (NumberFormatException none) {
            wrong(what + " was expected, not \"" + text + "\"", "write for example \"" + example + "\"");
        }
        return 0;
    }

    /** A span in nanoseconds, written with its unit: us, ms, s, min or h. */
    public long span() {
        return Math.round(unit(SECONDS, "a span of time", "8 s") * 1e9);
    }

    public long span(String otherwise) {
        return raw != null ? span() : new ConfigValue(mistakes, path, line, otherwise).span();
    }

    /** A size in bytes, written with its unit: B, KB, MB or GB, in powers of ten. */
    public long bytes() {
        return Math.round(unit(BYTES, "a size", "512 MB"));
    }

    public long bytes(String otherwise) {
        return raw != null ? bytes() : new ConfigValue(mistakes, path, line, otherwise).bytes();
    }

    /** One of the words of an enum, written in small letters with hyphens. */
    public <E extends Enum<E>> E word(Class<E> type, E otherwise) {
        if (raw == null && otherwise != null) {
            return otherwise;
        }
        String text = scalar();
        List<String> words = new ArrayList<>();
        for (E value : type.getEnumConstants()) {
            String word = value.name().toLowerCase(Locale.ROOT).replace('_', '-');
            if (word.equals(text)) {
                return value;
            }
            words.add(word);
        }
        if (text != null) {
            wrong("unknown word \"" + text + "\"", "write one of " + String.join(", ", words));
        }
        return otherwise != null ? otherwise : type.getEnumConstants()[0];
    }

    /** Names every key below here that was never read. */
    public void close() {
        if (raw instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                ConfigValue inner = (ConfigValue) entry.getValue();
                if (!read.contains(entry.getKey())) {
                    inner.wrong(
                            "unknown key",
                            read.isEmpty()
                                    ? "take it out"
                                    : "take it out, or write one of "
                                            + String.join(
                                                    ", ", read.stream().sorted().toList()));
                } else {
                    inner.close();
                }
            }
        } else if (raw instanceof List<?> list) {
            list.forEach(inner -> ((ConfigValue) inner).close());
        }
    }

    /** Ends the reading of some parts of a file that has others for other readers. */
    public void done(Set<String> parts) {
        for (String part : parts) {
            at(part).close();
        }
        mistakes.raise();
    }

    /** Ends the reading of a file: throws {@link ConfigErrors.Found} if anything was wrong. */
    public void done() {
        close();
        mistakes.raise();
    }

    private static String plain(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
