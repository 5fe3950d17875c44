package pearladder.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class YamlTest {
    enum Colour {
        RED,
        DARK_BLUE
    }

    private static List<String> errors(String text, Consumer<ConfigValue> reader) {
        ConfigErrors.ConfigException found = assertThrows(ConfigErrors.ConfigException.class, () -> {
            ConfigValue value = YamlParser.parse("f.yaml", text);
            reader.accept(value);
            value.requireValid();
        });
        return found.getMessage().lines().toList();
    }

    @Test
    void valuesAreReadInBaseUnits() {
        ConfigValue value = YamlParser.parse(
                "f.yaml", "a: 8 s\nb: 512 MB\nc: [1, 2]\nd: dark-blue\ne: 2.5\nf: true\ng: {h: x}\n" + "i: 1.5 ms\n");
        assertEquals(8_000_000_000L, value.at("a").durationNanos());
        assertEquals(512_000_000L, value.at("b").bytes());
        assertEquals(List.of(1, 2), value.at("c").each(v -> v.wholeNumber(0, 9)));
        assertEquals(Colour.DARK_BLUE, value.at("d").enumConstant(Colour.class, null));
        assertEquals(2.5, value.at("e").number(0, 3));
        assertTrue(value.at("f").flag(false));
        assertEquals("x", value.at("g").at("h").text());
        assertEquals(1_500_000L, value.at("i").durationNanos());
        assertEquals(3, value.at("none").wholeNumber(3, 0, 9));
        assertEquals(2_000_000_000L, value.at("nothing").durationNanos("2 s"));
        value.requireValid();
    }

    @Test
    void allErrorsAreReportedWithLineKeyAndRemedy() {
        assertEquals(
                List.of(
                        "f.yaml:1: a: a span of time with its unit was expected, not \"8\"; write for example \"8 s\"",
                        "f.yaml:2: b: a number from 0 to 3 was expected, not 4; change the value",
                        "f.yaml:3: c: unknown word \"green\"; write one of red, dark-blue",
                        "f.yaml:4: d: a list was expected; write \"- \" before each entry",
                        "f.yaml:5: f: unknown key; remove it, or write one of a, b, c, d, e"),
                errors("a: 8\nb: 4\nc: green\nd: 1\nf: 2\n", value -> {
                    value.at("a").durationNanos();
                    value.at("b").number(0, 3);
                    value.at("c").enumConstant(Colour.class, null);
                    value.at("d").each(ConfigValue::text);
                    value.at("e").text("");
                }));
    }

    @Test
    void aMissingValueIsReportedWithTheLineOfItsParent() {
        assertEquals(
                List.of("f.yaml:2: a.b: a value is missing; write it after \"a.b: \""),
                errors("x: 1\na: {c: 1}\n", value -> {
                    value.at("x").wholeNumber(0, 1);
                    value.at("a").at("c").wholeNumber(0, 1);
                    value.at("a").at("b").text();
                }));
    }

    @Test
    void invalidYamlDuplicateKeysAndMissingFilesAreErrors() {
        assertTrue(errors("a: [1\nb: 2\n", value -> {}).get(0).startsWith("f.yaml:"));
        assertEquals(
                List.of("f.yaml:3: a: duplicate key; remove one of the two"),
                errors("a: 1\nb: 2\na: 3\n", value -> {}));
        assertTrue(assertThrows(ConfigErrors.ConfigException.class, () -> YamlParser.parse(Path.of("no/such.yaml")))
                .getMessage()
                .startsWith("no/such.yaml:1: the file can't be read"));
    }

    @Test
    void anEmptyFileIsAnEmptyMap() {
        assertEquals(List.of(), YamlParser.parse("f.yaml", "").keys());
    }
}
