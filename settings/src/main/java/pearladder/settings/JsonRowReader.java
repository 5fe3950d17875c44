package pearladder.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads one line, a JSON array, value by value; a value left out at the end reads as null. Or a whole document. */
public final class JsonRowReader {
    private final JsonParser parser;
    private final String place;
    private boolean ended;

    private JsonRowReader(JsonParser parser, String place) {
        this.parser = parser;
        this.place = place;
    }

    /** A document of one value; mistakes are told with its name. */
    public static JsonNodeReader document(JsonParser parser, String name) {
        JsonRowReader row = new JsonRowReader(parser, name);
        return new JsonNodeReader(row, "", row.tree("value"));
    }

    public JsonRowReader(JsonParser parser, long line) {
        this(parser, "line " + line);
        if (read(parser::nextToken) != JsonToken.START_ARRAY) {
            throw bad("message", "an array was expected");
        }
    }

    private interface Reading<T> {
        T get() throws IOException;
    }

    private <T> T read(Reading<T> reading) {
        try {
            return reading.get();
        } catch (JsonProcessingException malformed) {
            throw new InvalidInputException(place + ": not valid JSON: " + malformed.getOriginalMessage());
        } catch (IOException broken) {
            throw new InvalidInputException(place + ": " + broken.getMessage());
        }
    }

    public InvalidInputException bad(String field, String what) {
        return new InvalidInputException(place + ", " + field + ": " + what);
    }

    private JsonToken next(String field) {
        if (ended) {
            return JsonToken.VALUE_NULL;
        }
        JsonToken token = read(parser::nextToken);
        if (token == null) {
            throw bad(field, "the line stops short");
        }
        if (token == JsonToken.END_ARRAY) {
            ended = true;
            return JsonToken.VALUE_NULL;
        }
        return token;
    }

    public String textOrNull(String field) {
        JsonToken token = next(field);
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        if (token != JsonToken.VALUE_STRING) {
            throw bad(field, "a text was expected");
        }
        return read(parser::getText);
    }

    public String text(String field) {
        return present(field, textOrNull(field));
    }

    public Long wholeOrNull(String field) {
        JsonToken token = next(field);
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return read(parser::getLongValue);
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            double value = read(parser::getDoubleValue);
            if (value == Math.rint(value)) {
                return (long) value;
            }
        }
        throw bad(field, "a whole number was expected");
    }

    public long whole(String field) {
        return present(field, wholeOrNull(field));
    }

    public Double numberOrNull(String field) {
        JsonToken token = next(field);
        if (token == JsonToken.VALUE_NULL) {
            return null;
        }
        if (token != JsonToken.VALUE_NUMBER_INT && token != JsonToken.VALUE_NUMBER_FLOAT) {
            throw bad(field, "a number was expected");
        }
        return read(parser::getDoubleValue);
    }

    public boolean flag(String field) {
        JsonToken token = next(field);
        if (token != JsonToken.VALUE_TRUE && token != JsonToken.VALUE_FALSE && token != JsonToken.VALUE_NULL) {
            throw bad(field, "true or false was expected");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Any JSON value as maps, lists, texts, numbers and flags. */
    public Object tree(String field) {
        return tree(field, next(field));
    }

    private Object tree(String field, JsonToken token) {
        if (token == null) {
            throw bad(field, "the line stops short");
        }
        switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (read(parser::nextToken) == JsonToken.FIELD_NAME) {
                    String name = read(parser::currentName);
                    map.put(name, tree(field + "." + name, read(parser::nextToken)));
                }
                return map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                JsonToken inner;
                while ((inner = read(parser::nextToken)) != JsonToken.END_ARRAY) {
                    list.add(tree(field + "[" + list.size() + "]", inner));
                }
                return list;
            }
            case VALUE_STRING -> {
                return read(parser::getText);
            }
            case VALUE_NUMBER_INT -> {
                return read(parser::getLongValue);
            }
            case VALUE_NUMBER_FLOAT -> {
                return read(parser::getDoubleValue);
            }
            case VALUE_TRUE, VALUE_FALSE -> {
                return token == JsonToken.VALUE_TRUE;
            }
            default -> {
                return null;
            }
        }
    }

    public <T> T present(String field, T value) {
        if (value == null) {
            throw bad(field, "a value is missing");
        }
        return value;
    }

    /** Reads to the end of the line; further values are passed over, a second message on the line is not. */
    public void close() {
        while (!ended) {
            JsonToken token = read(parser::nextToken);
            if (token == null) {
                throw bad("message", "the line stops short");
            }
            if (token == JsonToken.START_ARRAY || token == JsonToken.START_OBJECT) {
                read(parser::skipChildren);
            } else if (token == JsonToken.END_ARRAY) {
                ended = true;
            }
        }
        if (read(parser::nextToken) != null) {
            throw bad("message", "one message a line was expected");
        }
    }
}
