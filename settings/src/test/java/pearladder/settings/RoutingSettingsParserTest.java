package pearladder.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.RoutingSettings.DeduplicationScope;
import pearladder.routing.api.RoutingSettings.Idempotency;
import pearladder.routing.api.RoutingSettings.RequestClass;
import pearladder.routing.api.TimeSpan;

/** Tests how settings in the operators' format are parsed, and that errors name the position and the reason. */
class RoutingSettingsParserTest {
    private static RoutingSettings parse(String json) {
        try (JsonParser parser = new JsonFactory().createParser(json)) {
            return RoutingSettingsParser.read(JsonRowReader.document(parser, "config"));
        } catch (IOException impossible) {
            throw new AssertionError(impossible);
        }
    }

    private static void assertInvalid(String expectedMessage, String json) {
        InvalidInputException invalid = assertThrows(InvalidInputException.class, () -> parse(json));
        assertEquals(expectedMessage, invalid.getMessage());
    }

    @Test
    void missingSettingsHaveTheirDefaults() {
        RoutingSettings settings = parse("{}");
        assertEquals(0, settings.routerIndex());
        assertEquals(1, settings.routerCount());
        assertEquals("", settings.zone());
        assertEquals(TimeSpan.ZERO, settings.quantum());
        assertEquals(List.of(), settings.requestClasses());
        assertEquals(List.of(), settings.tenants());
        assertEquals(
                new RoutingSettings.AttemptLimits(
                        1, false, false, false, false, false, TimeSpan.ZERO, 1, false, TimeSpan.ZERO),
                settings.attemptLimits());
        assertEquals(new RoutingSettings.ResponseGrace(TimeSpan.ZERO, TimeSpan.ZERO), settings.responseGrace());
        assertEquals(new RoutingSettings.SlowStartSettings(1, TimeSpan.ZERO, 1, TimeSpan.ZERO), settings.slowStart());
        assertEquals(new RoutingSettings.LoadQuota(0, 0, TimeSpan.ZERO), settings.loadQuota());
        assertEquals(
                new RoutingSettings.InstanceSettings(
                        TimeSpan.ZERO, false, true, TimeSpan.ZERO, false, false, List.of()),
                settings.instances());
        assertEquals(new RoutingSettings.LoadReportSettings(List.of(), false), settings.loadReports());
        assertEquals(new RoutingSettings.DiscoverySettings(false, TimeSpan.ZERO), settings.discovery());
        assertEquals(new RoutingSettings.CostModel(0, 0, 0, 0, 0, 0), settings.costs());
    }

    @Test
    void eachKeySetsItsOwnSetting() {
        RoutingSettings settings = parse(
                """
                {"OverShareWorth": 0.5, "WorthBy": "work", "MembershipMode": "ask",
                 "Caps": {"MaxAttempts": 3, "SecondCopies": true, "MaxRetryAfterNs": 11, "DialTimeoutNs": 12},
                 "Rules": {"GraceToAnswerNs": 21, "StopSendingWithinNs": 22, "StartCapacity": 0.25, "ColdNs": 23,
                           "OverloadFactor": 2, "OverloadForNs": 24, "MustAskInNs": 25},
                 "FamilyInfo": {"LoadFree": 2, "LoadRatio": 0.1, "LoadSpanNs": 31, "LingerIdleNs": 32,
                                "LoadControl": true, "OnMiss": "refuse", "OrderTimeoutNs": 33, "TellsWarm": true,
                                "MachineMb": [512, 1024.5], "IdleMemoryCost": 0.06},
                 "Stats": {"Fields": ["x1"], "Via": "answers"},
                 "Penalties": {"CrossZone": 0.01, "Waste": 0.02, "Probe": 0.03, "Origin": 0.04, "LateFail": 0.05}}""");
        assertEquals(
                new RoutingSettings.AttemptLimits(
                        3, true, false, false, false, false, new TimeSpan(11), 0.5, true, new TimeSpan(12)),
                settings.attemptLimits());
        assertEquals(new RoutingSettings.ResponseGrace(new TimeSpan(21), new TimeSpan(22)), settings.responseGrace());
        assertEquals(
                new RoutingSettings.SlowStartSettings(0.25, new TimeSpan(23), 2, new TimeSpan(24)),
                settings.slowStart());
        assertEquals(new RoutingSettings.LoadQuota(2, 0.1, new TimeSpan(31)), settings.loadQuota());
        assertEquals(
                new RoutingSettings.InstanceSettings(
                        new TimeSpan(32), true, false, new TimeSpan(33), true, false, List.of(512.0, 1024.5)),
                settings.instances());
        assertEquals(new RoutingSettings.LoadReportSettings(List.of("x1"), true), settings.loadReports());
        assertEquals(new RoutingSettings.DiscoverySettings(true, new TimeSpan(25)), settings.discovery());
        assertEquals(new RoutingSettings.CostModel(0.01, 0.02, 0.03, 0.04, 0.05, 0.06), settings.costs());
    }

    @Test
    void requestClassesAndTenantsAreReadInTheirOrder() {
        RoutingSettings settings = parse(
                """
                {"Services": [
                   {"Name": "draw", "AimNs": 1, "GiveUpNs": 2, "Worth": 3, "LateWorth": 0.4, "Effect": "free"},
                   {"Name": "note", "Effect": "guarded", "DedupScope": "zone", "KeyTtlNs": 5, "Streamed": true,
                    "AimStretch": 0.6}],
                 "Accounts": [{"Name": "x", "Share": 0.7, "QuotaPerS": 60}]}""");
        RequestClass draw = new RequestClass(
                "draw",
                new TimeSpan(1),
                new TimeSpan(2),
                3,
                0.4,
                Idempotency.RETRIABLE,
                DeduplicationScope.ALL,
                TimeSpan.ZERO,
                false,
                0);
        RequestClass note = new RequestClass(
                "note",
                TimeSpan.ZERO,
                TimeSpan.ZERO,
                1,
                0,
                Idempotency.FINGERPRINTED,
                DeduplicationScope.ZONE,
                new TimeSpan(5),
                true,
                0.6);
        assertEquals(List.of(draw, note), settings.requestClasses());
        assertEquals(List.of(new RoutingSettings.Tenant("x", 0.7, 60)), settings.tenants());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "config, .Caps: an object was expected | {\"Caps\": 3}",
                "config, .Caps.MaxAttempts: a whole number was expected | {\"Caps\": {\"MaxAttempts\": 1.5}}",
                "config, .Caps.Probes: true or false was expected | {\"Caps\": {\"Probes\": \"yes\"}}",
                "config, .QuantumNs: a number was expected | {\"QuantumNs\": \"4ms\"}",
                "config, .Zone: a string was expected | {\"Zone\": 1}",
                "config, .Services: a list was expected | {\"Services\": {}}",
                "config, .Services[0].Name: a value is missing | {\"Services\": [{}]}",
                "config, .Services[1].Effect: a value is missing "
                        + "| {\"Services\": [{\"Name\": \"a\", \"Effect\": \"free\"}, {\"Name\": \"b\"}]}",
                "config, .Services[0].Effect: unknown word once "
                        + "| {\"Services\": [{\"Name\": \"a\", \"Effect\": \"once\"}]}",
                "config, .Services[0].DedupScope: unknown word rack "
                        + "| {\"Services\": [{\"Name\": \"a\", \"Effect\": \"guarded\", \"DedupScope\": \"rack\"}]}",
                "config, .FamilyInfo.MachineMb[1]: a number was expected "
                        + "| {\"FamilyInfo\": {\"MachineMb\": [512, \"1G\"]}}",
                "config, .Accounts[0].Name: a string was expected | {\"Accounts\": [{\"Name\": 7}]}",
            })
    void errorNamesTheFieldAndTheExpectedType(String expectedMessage, String json) {
        assertInvalid(expectedMessage, json);
    }

    @Test
    void aDocumentThatIsEmptyOrNotAnObjectIsRejected() {
        assertInvalid("config, : an object was expected", "[1, 2]");
        assertInvalid("config, value: unexpected end of input", "");
    }

    @Test
    void malformedJsonIsRejected() {
        InvalidInputException invalid = assertThrows(InvalidInputException.class, () -> parse("{\"Caps\": nul}"));
        assertTrue(invalid.getMessage().startsWith("config: not valid JSON: "), invalid.getMessage());
    }
}
