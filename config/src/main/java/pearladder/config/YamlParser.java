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

/** Parses a YAML file into values that know their line. Anchors and several documents are not supported. */
public final class YamlParser {
    private final JsonParser parser;
    private final ConfigErrors mistakes;

    private YamlParser(JsonParser parser, ConfigErrors mistakes) {
        this.parser = parser;
        this.mistakes = mistakes;
    }

    /** Parses a file; throws {@link ConfigErrors.ConfigException} where it can't be read or is not YAML. */
    public static ConfigValue read(Path file) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException unreadable) {
            throw new ConfigErrors.ConfigException(List.of(new ConfigErrors.Mistake(
                    file.toString(),
                    1,
                    "",
                    "the file can't be read",
                    "check that it is there, is UTF-8 and may be read")));
        }
        return read(file.toString(), text);
    }

    /** Parses a text; mistakes are reported under a file's name. */
    public static ConfigValue read(String file, String text) {
        ConfigErrors mistakes = new ConfigErrors(file);
        try (JsonParser parser = new YAMLFactory().createParser(text)) {
            YamlParser yaml = new YamlParser(parser, mistakes);
            JsonToken first = parser.nextToken();
            ConfigValue value = first == null
                    ? new ConfigValue(mistakes, "", 1, new LinkedHashMap<String, ConfigValue>())
                    : yaml.value("", first);
            mistakes.raise();
            return value;
        } catch (JsonProcessingException malformed) {
            int line = malformed.getLocation() == null
                    ? 1
                    : Math.max(1, malformed.getLocation().getLineNr());
            String what = malformed
                    .getOriginalMessage()
                    .lines()
                    .findFirst()
                    .orElse("")
                    .trim();
            throw new ConfigErrors.ConfigException(List.of(new ConfigErrors.Mistake(
                    file,
                    line,
                    "",
                    "not YAML: " + what,
                    "check indents, colons and quotes at this line and the one before")));
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
    }

    private ConfigValue value(String path, JsonToken token) throws IOException {
        int line = parser.currentTokenLocation().getLineNr();
        if (token == JsonToken.START_OBJECT) {
            Map<String, ConfigValue> map = new LinkedHashMap<>();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String key = parser.currentName();
                int keyLine = parser.currentTokenLocation().getLineNr();
                String inner = path.isEmpty() ? key : path + "." + key;
                ConfigValue value = value(inner, parser.nextToken());
                if (map.putIfAbsent(key, new ConfigValue(mistakes, inner, keyLine, value.raw())) != null) {
                    mistakes.add(keyLine, inner, "the key stands twice", "keep one of them");
                }
            }
            return new ConfigValue(mistakes, path, line, map);
        }
        if (token == JsonToken.START_ARRAY) {
            List<ConfigValue> list = new ArrayList<>();
            JsonToken inner;
            while ((inner = parser.nextToken()) != JsonToken.END_ARRAY) {
                list.add(value(path + "[" + list.size() + "]", inner));
            }
            return new ConfigValue(mistakes, path, line, list);
        }
        return new ConfigValue(mistakes, path, line, token == JsonToken.VALUE_NULL ? null : parser.getText());
    }
}
