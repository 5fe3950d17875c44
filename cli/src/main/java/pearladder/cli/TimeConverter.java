package pearladder.cli;

import java.time.DateTimeException;
import java.time.Instant;
import picocli.CommandLine;

/** Converts an ISO 8601 time in UTC, or a date, which stands for its first instant. */
final class TimeConverter implements CommandLine.ITypeConverter<Instant> {
    private static final int DATE_LENGTH = "2026-12-01".length();

    @Override
    public Instant convert(String text) {
        try {
            return text.length() == DATE_LENGTH ? Instant.parse(text + "T00:00:00Z") : Instant.parse(text);
        } catch (DateTimeException unreadable) {
            throw new CommandLine.TypeConversionException(
                    "\"" + text + "\" is no time; write 2026-12-01 or 2026-12-01T15:00:00Z");
        }
    }
}
