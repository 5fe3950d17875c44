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
 * A value of a configuration file. A reader that finds a mistake reports it and returns a default, so that one
 * pass finds all mistakes; {@link #done} then reports keys that were not read, and throws.
 */
public final class ConfigValue {
    private static final Map<String, Double> SECONDS_BY_UNIT =
            Map.of("us", 1e-6, "ms", 1e-3, "s", 1.0, "min", 60.0, "h", 3600.0);
    private static final Map<String, Double> BYTES_BY_UNIT = Map.of("B", 1.0, "KB", 1e3, "MB", 1e6, "GB", 1e9);

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

    /** The key with its parents, separated by dots; empty for the whole file. */
    public String path() {
        return path;
    }

    /** The line in the file, from 1. */
    public int line() {
        return line;
    }

    /** Whether the key is in the file, with a value. */
    public boolean isGiven() {
        return raw != null;
    }

    /**
     * Reports a mistake at this value.
     *
     * @param what is wrong
     * @param mend what to do
     */
    public void addMistake(String what, String mend) {
        mistakes.add(line, path, what, mend);
    }

    private Map<?, ?> map() {
        if (raw == null) {
            return Map.of();
        }
        if (raw instanceof Map<?, ?> map) {
            return map;
        }
        addMistake("keys and values were expected", "write \"key: value\" lines, indented below " + name());
        return Map.of();
    }

    private String name() {
        return path.isEmpty() ? "the file" : path;
    }

    /** The value of a key; a missing one is not {@link #isGiven}, and has this value's line. */
    public ConfigValue at(String key) {
        read.add(key);
        Object inner = map().get(key);
        if (inner instanceof ConfigValue value) {
            return value;
        }
        return missing.computeIfAbsent(
                key, absent -> new ConfigValue(mistakes, path.isEmpty() ? key : path + "." + key, line, null));
    }

    /** The keys, in the file's order. */
    public List<String> keys() {
        return map().keySet().stream().map(Object::toString).toList();
    }

    /** Reads each value of a map with its key, in the file's order. */
    public <T> Map<String, T> eachKey(BiFunction<String, ConfigValue, T> reader) {
        Map<String, T> values = new LinkedHashMap<>();
        for (String key : keys()) {
            values.put(key, reader.apply(key, at(key)));
        }
        return values;
    }

    /** Reads each value of a list; a missing list is empty. */
    public <T> List<T> each(Function<ConfigValue, T> reader) {
        if (raw == null) {
            return List.of();
        }
        if (!(raw instanceof List<?> list)) {
            addMistake("a list was expected", "write \"- \" before each entry");
            return List.of();
        }
        List<T> values = new ArrayList<>();
        for (Object inner : list) {
            values.add(reader.apply((ConfigValue) inner));
        }
        return values;
    }

    private String scalar() {
        if (raw instanceof String text) {
            return text;
        }
        addMistake(
                raw == null ? "a value is missing" : "a single value was expected",
                "write it behind \"" + name() + ": \"");
        return null;
    }

    /** A text; reports a mistake where it is missing. */
    public String text() {
        String text = scalar();
        return text == null ? "" : text;
    }

    /** A text, or a default where it is missing. */
    public String text(String defaultText) {
        return raw == null ? defaultText : text();
    }

    /** A number within bounds; reports a mistake where it is missing. */
    public double number(double min, double max) {
        String text = scalar();
        if (text == null) {
            return min;
        }
        try {
            double number = Double.parseDouble(text);
            if (number >= min && number <= max) {
                return number;
            }
            addMistake("a number from " + plain(min) + " to " + plain(max) + " was expected, not " + text, "change it");
        } catch (NumberFormatException none) {
            addMistake("a number was expected, not \"" + text + "\"", "write a number without a unit");
        }
        return min;
    }

    /** A number within bounds, or a default where it is missing. */
    public double number(double defaultNumber, double min, double max) {
        return raw == null ? defaultNumber : number(min, max);
    }

    /** A whole number within bounds; reports a mistake where it is missing. */
    public int whole(int min, int max) {
        double number = number(min, max);
        if (number != Math.rint(number)) {
            addMistake("a whole number was expected", "leave out what stands behind the point");
        }
        return (int) number;
    }

    /** A whole number within bounds, or a default where it is missing. */
    public int whole(int defaultNumber, int min, int max) {
        return raw == null ? defaultNumber : whole(min, max);
    }

    /** True or false, or a default where it is missing. */
    public boolean flag(boolean defaultFlag) {
        if (raw == null) {
            return defaultFlag;
        }
        String text = scalar();
        if ("true".equals(text) || "false".equals(text)) {
            return "true".equals(text);
        }
        addMistake("true or false was expected", "write one of the two");
        return defaultFlag;
    }

    /** A number in the units' base; 0 where there is a mistake. */
    private double withUnit(Map<String, Double> units, String what, String example) {
        String text = scalar();
        if (text == null) {
            return 0;
        }
        String trimmed = text.trim();
        int numberEnd = 0;
        while (numberEnd < trimmed.length() && isPartOfNumber(trimmed.charAt(numberEnd))) {
            numberEnd++;
        }
        Double unit = units.get(trimmed.substring(numberEnd).trim());
        try {
            double number = Double.parseDouble(trimmed.substring(0, numberEnd));
            if (unit != null) {
                return number * unit;
            }
            addMistake(
                    what + " with its unit was expected, not \"" + text + "\"",
                    "write for example \"" + example + "\"");
        } catch (NumberFormatException none) {
            addMistake(what + " was expected, not \"" + text + "\"", "write for example \"" + example + "\"");
        }
        return 0;
    }

    private static boolean isPartOfNumber(char character) {
        return Character.isDigit(character) || character == '.';
    }

    /** A duration in nanoseconds, written with its unit: us, ms, s, min or h. */
    public long span() {
        return Math.round(withUnit(SECONDS_BY_UNIT, "a span of time", "8 s") * 1e9);
    }

    /** A duration in nanoseconds, or a default written with its unit; null where there is none. */
    public long span(String defaultSpan) {
        return raw != null ? span() : new ConfigValue(mistakes, path, line, defaultSpan).span();
    }

    /** A size in bytes, written with its unit: B, KB, MB or GB, in powers of ten. */
    public long bytes() {
        return Math.round(withUnit(BYTES_BY_UNIT, "a size", "512 MB"));
    }

    /** A size in bytes, or a default written with its unit. */
    public long bytes(String defaultSize) {
        return raw != null ? bytes() : new ConfigValue(mistakes, path, line, defaultSize).bytes();
    }

    /**
     * A constant of an enum, written in lower case with hyphens.
     *
     * @param defaultValue null where the key must be there
     */
    public <E extends Enum<E>> E word(Class<E> type, E defaultValue) {
        if (raw == null && defaultValue != null) {
            return defaultValue;
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
            addMistake("unknown word \"" + text + "\"", "write one of " + String.join(", ", words));
        }
        return defaultValue != null ? defaultValue : type.getEnumConstants()[0];
    }

    /** Reports every key below this value that was not read. */
    public void close() {
        if (raw instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                ConfigValue inner = (ConfigValue) entry.getValue();
                if (!read.contains(entry.getKey())) {
                    inner.addMistake("unknown key", "take it out" + alternatives());
                } else {
                    inner.close();
                }
            }
        } else if (raw instanceof List<?> list) {
            list.forEach(inner -> ((ConfigValue) inner).close());
        }
    }

    private String alternatives() {
        return read.isEmpty()
                ? ""
                : ", or write one of "
                        + String.join(", ", read.stream().sorted().toList());
    }

    /** Ends the reading of some sections of a file that has others for other readers. */
    public void done(Set<String> sections) {
        for (String section : sections) {
            at(section).close();
        }
        mistakes.raise();
    }

    /** Ends the reading of a file: throws {@link ConfigErrors.ConfigException} if anything was wrong. */
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
