package pearladder.settings;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import pearladder.routing.api.TimeSpan;

/** A value inside a JSON object, read by type; a wrong type names the path. Unknown keys are passed over. */
public record JsonNodeReader(JsonRowReader row, String path, Object value) {
    public JsonNodeReader at(String key) {
        Object inner = value == null ? null : object().get(key);
        return new JsonNodeReader(row, path + "." + key, inner);
    }

    private Map<?, ?> object() {
        if (value instanceof Map<?, ?> map) {
            return map;
        }
        throw row.bad(path, "an object was expected");
    }

    private <T> T as(Class<T> type, String what, T otherwise) {
        if (value == null) {
            return otherwise;
        }
        if (type.isInstance(value)) {
            return type.cast(value);
        }
        throw row.bad(path, what + " was expected");
    }

    public String text() {
        return row.present(path, textOr(null));
    }

    public String textOr(String otherwise) {
        return as(String.class, "a text", otherwise);
    }

    public boolean flag(boolean otherwise) {
        return as(Boolean.class, "true or false", otherwise);
    }

    public double number(double otherwise) {
        return as(Number.class, "a number", otherwise).doubleValue();
    }

    public int whole(int otherwise) {
        double number = number(otherwise);
        if (number != Math.rint(number)) {
            throw row.bad(path, "a whole number was expected");
        }
        return (int) number;
    }

    public TimeSpan span() {
        return new TimeSpan(Math.round(number(0)));
    }

    public <T> List<T> each(Function<JsonNodeReader, T> reading) {
        List<?> list = as(List.class, "a list", List.of());
        return java.util.stream.IntStream.range(0, list.size())
                .mapToObj(i -> reading.apply(new JsonNodeReader(row, path + "[" + i + "]", list.get(i))))
                .toList();
    }

    public <T> T oneOf(Map<String, T> words) {
        T meaning = words.get(text());
        if (meaning == null) {
            throw row.bad(path, "unknown word " + value);
        }
        return meaning;
    }
}
