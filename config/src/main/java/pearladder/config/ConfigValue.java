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
 * A value in a configuration file. An accessor that finds an error records it and returns a default, so that one pass
 * finds all errors; {@link #requireValid} then reports keys that were not read and throws an exception if there
 * is any error.
 */
public final class ConfigValue {
    private static final Map<String, Double> SECONDS_BY_UNIT =
            Map.of("us", 1e-6, "ms", 1e-3, "s", 1.0, "min", 60.0, "h", 3600.0);
    private static final Map<String, Double> BYTES_BY_UNIT = Map.of("B", 1.0, "KB", 1e3, "MB", 1e6, "GB", 1e9);

    private final ConfigErrors errors;
    private final String path;
    private final int line;
    private final Object raw;
    private final Set<String> readKeys = new HashSet<>();
    private final Map<String, ConfigValue> missingValues = new LinkedHashMap<>();

    ConfigValue(ConfigErrors errors, String path, int line, Object raw) {
        this.errors = errors;
        this.path = path;
        this.line = line;
        this.raw = raw;
    }

    Object raw() {
        return raw;
    }

    /** Returns the key with its parent keys, separated by dots; empty for the whole file. */
    public String path() {
        return path;
    }

    /** Returns the line number in the file, from 1. */
    public int line() {
        return line;
    }

    /** Returns whether the file contains the key with a value. */
    public boolean isGiven() {
        return raw != null;
    }

    /**
     * Records an error in this value.
     *
     * @param problem what is wrong
     * @param remedy how to correct it
     */
    public void addError(String problem, String remedy) {
        errors.add(line, path, problem, remedy);
    }

    private Map<?, ?> map() {
        if (raw == null) {
            return Map.of();
        }
        if (raw instanceof Map<?, ?> map) {
            return map;
        }
        addError("keys and values were expected", "write \"key: value\" lines, indented below " + displayName());
        return Map.of();
    }

    private String displayName() {
        return path.isEmpty() ? "the file" : path;
    }

    /** Returns the value of a key; if it is missing, a value that is not {@link #isGiven} and has this value's line. */
    public ConfigValue at(String key) {
        readKeys.add(key);
        Object inner = map().get(key);
        if (inner instanceof ConfigValue value) {
            return value;
        }
        return missingValues.computeIfAbsent(
                key, absent -> new ConfigValue(errors, path.isEmpty() ? key : path + "." + key, line, null));
    }

    /** Returns the keys in the order of the file. */
    public List<String> keys() {
        return map().keySet().stream().map(Object::toString).toList();
    }

    /** Reads each value of a map with its key, in the order of the file. */
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
            addError("a list was expected", "write \"- \" before each entry");
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
        addError(
                raw == null ? "a value is missing" : "a single value was expected",
                "write it after \"" + displayName() + ": \"");
        return null;
    }

    /** Returns the text; records an error if it is missing. */
    public String text() {
        String text = scalar();
        return text == null ? "" : text;
    }

    /** Returns the text, or a default if it is missing. */
    public String text(String defaultText) {
        return raw == null ? defaultText : text();
    }

    /** Returns a number within bounds; records an error if it is missing. */
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
            addError(
                    "a number from " + formatNumber(min) + " to " + formatNumber(max) + " was expected, not " + text,
                    "change the value");
        } catch (NumberFormatException malformed) {
            addError("a number was expected, not \"" + text + "\"", "write a number without a unit");
        }
        return min;
    }

    /** Returns a number within bounds, or a default if it is missing. */
    public double number(double defaultNumber, double min, double max) {
        return raw == null ? defaultNumber : number(min, max);
    }

    /** Returns a whole number within bounds; records an error if it is missing. */
    public int wholeNumber(int min, int max) {
        double number = number(min, max);
        if (number != Math.rint(number)) {
            addError("a whole number was expected", "remove the decimal places");
        }
        return (int) number;
    }

    /** Returns a whole number within bounds, or a default if it is missing. */
    public int wholeNumber(int defaultNumber, int min, int max) {
        return raw == null ? defaultNumber : wholeNumber(min, max);
    }

    /** Returns true or false, or a default if it is missing. */
    public boolean flag(boolean defaultFlag) {
        if (raw == null) {
            return defaultFlag;
        }
        String text = scalar();
        if ("true".equals(text) || "false".equals(text)) {
            return "true".equals(text);
        }
        addError("true or false was expected", "write one of the two");
        return defaultFlag;
    }

    /** Returns a number converted to the base unit; 0 if there is an error. */
    private double numberWithUnit(Map<String, Double> units, String quantity, String example) {
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
            addError(
                    quantity + " with its unit was expected, not \"" + text + "\"",
                    "write for example \"" + example + "\"");
        } catch (NumberFormatException malformed) {
            addError(quantity + " was expected, not \"" + text + "\"", "write for example \"" + example + "\"");
        }
        return 0;
    }

    private static boolean isPartOfNumber(char character) {
        return Character.isDigit(character) || character == '.';
    }

    /** Returns a duration in nanoseconds, written with its unit: us, ms, s, min or h. */
    public long durationNanos() {
        return Math.round(numberWithUnit(SECONDS_BY_UNIT, "a span of time", "8 s") * 1e9);
    }

    /** Returns a duration in nanoseconds, or a default that is written with its unit; required if that is null. */
    public long durationNanos(String defaultSpan) {
        return raw != null ? durationNanos() : new ConfigValue(errors, path, line, defaultSpan).durationNanos();
    }

    /** Returns a size in bytes, written with its unit: B, KB, MB or GB, in powers of ten. */
    public long bytes() {
        return Math.round(numberWithUnit(BYTES_BY_UNIT, "a size", "512 MB"));
    }

    /** Returns a size in bytes, or a default that is written with its unit. */
    public long bytes(String defaultSize) {
        return raw != null ? bytes() : new ConfigValue(errors, path, line, defaultSize).bytes();
    }

    /**
     * Returns a constant of an enum, written in lower case with hyphens.
     *
     * @param defaultValue null if the key is required
     */
    public <E extends Enum<E>> E enumConstant(Class<E> type, E defaultValue) {
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
            addError("unknown word \"" + text + "\"", "write one of " + String.join(", ", words));
        }
        return defaultValue != null ? defaultValue : type.getEnumConstants()[0];
    }

    /** Records an error for each key below this value that was not read. */
    public void reportUnreadKeys() {
        if (raw instanceof Map<?, ?> map) {
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                ConfigValue inner = (ConfigValue) entry.getValue();
                if (!readKeys.contains(entry.getKey())) {
                    inner.addError("unknown key", "remove it" + alternatives());
                } else {
                    inner.reportUnreadKeys();
                }
            }
        } else if (raw instanceof List<?> list) {
            list.forEach(inner -> ((ConfigValue) inner).reportUnreadKeys());
        }
    }

    private String alternatives() {
        return readKeys.isEmpty()
                ? ""
                : ", or write one of "
                        + String.join(", ", readKeys.stream().sorted().toList());
    }

    /**
     * Ends reading of some sections of a file whose other sections are read elsewhere; throws like
     * {@link #requireValid()}.
     */
    public void requireValid(Set<String> sections) {
        for (String section : sections) {
            at(section).reportUnreadKeys();
        }
        errors.throwIfAny();
    }

    /** Ends reading of a file; throws a {@link ConfigErrors.ConfigException} if there was any error. */
    public void requireValid() {
        reportUnreadKeys();
        errors.throwIfAny();
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) && Math.abs(number) < 1e15
                ? Long.toString((long) number)
                : Double.toString(number);
    }
}
