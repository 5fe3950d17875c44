package pearladder.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses a YAML file into values with line numbers. Anchors and multiple documents are not supported. */
public final class YamlParser {
    private final JsonParser parser;
    private final ConfigErrors errors;

    private YamlParser(JsonParser parser, ConfigErrors errors) {
        this.parser = parser;
        this.errors = errors;
    }

    /** Parses a file; throws a {@link ConfigErrors.ConfigException} if it can't be read or is not valid YAML. */
    public static ConfigValue parse(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException unreadable) {
            throw new ConfigErrors.ConfigException(List.of(new ConfigErrors.ConfigError(
                    file.toString(),
                    1,
                    "",
                    "the file can't be read",
                    "check that it exists, is UTF-8 and may be read")));
        }
        return parse(file.toString(), text);
    }

    /** Parses a text; errors are reported with a file's name. */
    public static ConfigValue parse(String file, String text) {
        ConfigErrors errors = new ConfigErrors(file);
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            YamlParser yaml = new YamlParser(parser, errors);
            JsonToken first = parser.nextToken();
            ConfigValue value = first == null
                    ? new ConfigValue(errors, "", 1, new LinkedHashMap<String, ConfigValue>())
                    : yaml.parseValue("", first);
            errors.throwIfAny();
            return value;
        } catch (JsonProcessingException malformed) {
            int line = malformed.getLocation() == null
                    ? 1
                    : Math.max(1, malformed.getLocation().getLineNr());
            String problem = malformed
                    .getOriginalMessage()
                    .lines()
                    .findFirst()
                    .orElse("")
                    .trim();
            throw new ConfigErrors.ConfigException(List.of(new ConfigErrors.ConfigError(
                    file,
                    line,
                    "",
                    "invalid YAML: " + problem,
                    "check indentation, colons and quotes in this line and the one before")));
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private ConfigValue parseValue(String path, JsonToken token) throws IOException {
        int line = parser.currentTokenLocation().getLineNr();
        if (token == JsonToken.START_OBJECT) {
            Map<String, ConfigValue> map = new LinkedHashMap<>();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = parser.currentName();
                int keyLine = parser.currentTokenLocation().getLineNr();
                String inner = path.isEmpty() ? key : path + "." + key;
                ConfigValue value = parseValue(inner, parser.nextToken());
                if (map.putIfAbsent(key, new ConfigValue(errors, inner, keyLine, value.raw())) != null) {
                    errors.add(keyLine, inner, "duplicate key", "remove one of the two");
                }
            }
            return new ConfigValue(errors, path, line, map);
        }
        if (token == JsonToken.START_ARRAY) {
            List<ConfigValue> list = new ArrayList<>();
            JsonToken inner;
            while ((inner = parser.nextToken()) != JsonToken.END_ARRAY) {
                list.add(parseValue(path + "[" + list.size() + "]", inner));
            }
            return new ConfigValue(errors, path, line, list);
        }
        return new ConfigValue(errors, path, line, token == JsonToken.VALUE_NULL ? null : parser.getText());
    }
}
