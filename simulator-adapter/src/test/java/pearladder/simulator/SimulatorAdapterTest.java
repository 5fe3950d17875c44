package pearladder.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.settings.InvalidInputException;

class SimulatorAdapterTest {
    private static final String BEGIN = "[\"Begin\",3,99,{\"PeersTotal\":2,\"Unknown\":[1,{\"a\":null}],\"Services\":"
            + "[{\"Name\":\"c\",\"Effect\":\"guarded\",\"AimNs\":5,\"DedupScope\":\"zone\"}],\"Rules\":"
            + "{\"StartCapacity\":0.25}}]";

    private static final List<Action> ALL_ACTIONS = List.of(
            new Action.SendAttempt("t", "w", TimeSpan.millis(80)),
            new Action.Reject("t", TimeSpan.millis(1)),
            new Action.Fail("t"),
            new Action.CancelAttempt("t", 1),
            new Action.SetTimer(new MonotonicTime(7), "x"),
            new Action.LoadInstances("w", "f", 2),
            new Action.UnloadInstances("w", "f"),
            new Action.CheckHealth("w"),
            new Action.CloseIdleConnections("w"),
            new Action.WatchEndpoints(true),
            new Action.PollEndpoints(),
            new Action.SendGossip(null, "hi"),
            new Action.Log("said"));
    private static final List<String> ALL_ACTIONS_WRITTEN = List.of(
            "[\"Relay\",3,\"t\",\"w\",80000000]",
            "[\"Decline\",3,\"t\",1000000]",
            "[\"ReportFailure\",3,\"t\"]",
            "[\"AbortAttempt\",3,\"t\",1]",
            "[\"NotifyMe\",3,7,\"x\"]",
            "[\"HoldThere\",3,\"w\",\"f\",2]",
            "[\"Evict\",3,\"f\",\"w\"]",
            "[\"Ping\",3,\"w\"]",
            "[\"HangUp\",3,\"w\"]",
            "[\"Watch\",3,true]",
            "[\"Fetch\",3]",
            "[\"Post\",3,null,\"hi\"]",
            "[\"SayLog\",3,\"said\"]",
            "[\"Finished\"]");

    private final List<Event> events = new ArrayList<>();
    private final List<RoutingSettings> receivedSettings = new ArrayList<>();
    private List<Action> actions = List.of();

    private String serve(String... lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter((seed, settings) -> {
                    receivedSettings.add(settings);
                    return (now, event) -> {
                        events.add(event);
                        return actions;
                    };
                })
                .serve(new ByteArrayInputStream(String.join("\n", lines).getBytes(StandardCharsets.UTF_8)), out);
        return out.toString(StandardCharsets.UTF_8).strip();
    }

    @Test
    void emptyBatchGetsAnEmptyReply() throws IOException {
        assertEquals("[\"Finished\"]", serve("[\"Frame\",8412250000]", "[\"Commit\"]"));
    }

    @Test
    void eventsAreReadAndActionsWritten() throws IOException {
        actions = ALL_ACTIONS;
        String reply = serve(
                "[\"Frame\",5]",
                BEGIN,
                "[\"Settled\",3,\"t\",true,17,\"w\",\"success\",18500000,0,{\"backlog\":3,\"x1\":1.25}]",
                "[\"Commit\"]");
        assertEquals(
                ALL_ACTIONS_WRITTEN,
                reply.lines().filter(line -> !line.isBlank()).toList());
        Event.AttemptEnded ended = (Event.AttemptEnded) events.get(0);
        assertEquals(Outcome.SUCCESS, ended.outcome());
        assertEquals(Event.InstanceStatus.STOOD, ended.instanceStatus());
        assertEquals(2, ended.concurrentRequests());
        assertEquals(3, ended.loadReport().backlog());
        assertEquals(
                RoutingSettings.Idempotency.FINGERPRINTED,
                receivedSettings.get(0).requestClasses().get(0).idempotency());
        assertEquals(
                RoutingSettings.DeduplicationScope.ZONE,
                receivedSettings.get(0).requestClasses().get(0).deduplicationScope());
        assertEquals(0.25, receivedSettings.get(0).slowStart().initialCapacityShare());
    }

    @Test
    void endpointListsAreResolvedInTheOrderOfTheLinesAndRoutersCanRestart() throws IOException {
        serve(
                "[\"Frame\",5]",
                BEGIN,
                "[\"Roster\",0,[[\"a\",\"z\",\"k\",0,\"in_service\",1,null]]]",
                "[\"DirectoryUpdate\",3,\"stale_copy\",41,0]",
                "[\"Roster\",0,[[\"b\",\"z\",\"k\",0,\"terminating\",1,6100000000]]]",
                "[\"DirectoryUpdate\",3,\"patch\",42,0]",
                "[\"DirectoryUpdate\",3,\"broken\",42,0]",
                "[\"Destroy\",3]",
                BEGIN,
                "[\"Due\",3,\"sweep\"]",
                "[\"Demand\",3,\"t\",2,900,false,\"acc\",240000000,\"c\",null,384,\"f\",false]",
                "[\"Commit\"]");
        assertEquals(
                "a", ((Event.EndpointsUpdated) events.get(0)).endpoints().get(0).worker());
        assertEquals(
                new MonotonicTime(6100000000L),
                ((Event.EndpointsUpdated) events.get(1)).endpoints().get(0).startedAt());
        assertEquals(Event.EndpointUpdateKind.FAILED, ((Event.EndpointsUpdated) events.get(2)).kind());
        assertEquals(new Event.TimerFired("sweep"), events.get(3));
        assertEquals(TimeSpan.millis(900), ((Event.RequestArrived) events.get(4)).typicalLoadTime());
        assertEquals(2, receivedSettings.size());
    }

    @Test
    void aPolicyFailureIsReportedOnce() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String lines = "[\"Frame\",5]\n" + BEGIN + "\n[\"Due\",3,\"x\"]\n[\"Due\",3,\"y\"]\n[\"Commit\"]";
        new SimulatorAdapter((seed, settings) -> (now, event) -> {
                    throw new IllegalStateException("broken");
                })
                .serve(new ByteArrayInputStream(lines.getBytes(StandardCharsets.UTF_8)), out);
        String reply = out.toString(StandardCharsets.UTF_8);
        assertTrue(reply.contains("[\"GiveIn\",3,\"java.lang.IllegalStateException: broken"), reply);
        assertEquals(reply.indexOf("GiveIn"), reply.lastIndexOf("GiveIn"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[\"Due\",3,7] | line 3, Tag",
                "[\"Due\",4,\"x\"] | line 3, I",
                "[\"Dew\",3,\"x\"] | line 3, message",
                "[\"Due\",3 | line 3",
                "{} | line 3, message",
                "[\"Demand\",3,\"t\",\"two\"] | line 3, Width",
                "[\"Demand\",3,\"t\",2,900,false,\"acc\",null] | line 3, RemainingNs",
                "[\"Settled\",3,\"t\",true,null,\"w\",\"fine\",1,0] | line 3, Verdict",
                "[\"Settled\",3,\"t\",true,null,\"w\",\"success\",1,0,{\"x1\":\"a\"}] | line 3, Load.x1",
                "[\"DirectoryUpdate\",3,\"whole\",1,5] | line 3, Table",
                "[\"Begin\",4,1,{\"Caps\":{\"MaxAttempts\":true}}] | line 3, Facts.Caps.MaxAttempts",
                "[\"Roster\",0,[[\"a\",\"z\",\"k\",0,\"gone\",1]]] | line 3, Entries[0][4]"
            })
    void errorsOnInvalidInputNameTheLineAndTheField(String line, String position) {
        InvalidInputException invalid =
                assertThrows(InvalidInputException.class, () -> serve("[\"Frame\",5]", BEGIN, line, "[\"Commit\"]"));
        assertTrue(invalid.getMessage().startsWith(position), invalid.getMessage());
    }
}
