package pearladder.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.Endpoint;
import pearladder.routing.api.Event.EndpointUpdateKind;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Event.WorkerLoadReport;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;
import pearladder.settings.EndpointStates;
import pearladder.settings.JsonNodeReader;
import pearladder.settings.JsonRowReader;
import pearladder.settings.LoadReport;

/** Reads events from the simulator's messages; reads the values of a message in the order of the line. */
final class EventReader {
    private static final Map<String, Outcome> OUTCOMES = Map.of(
            "success",
            Outcome.SUCCESS,
            "failure",
            Outcome.ERROR,
            "overloaded",
            Outcome.FULL,
            "timed_out",
            Outcome.TIMED_OUT,
            "unreachable",
            Outcome.UNREACHABLE,
            "broken",
            Outcome.BROKEN,
            "withdrawn",
            Outcome.WITHDRAWN,
            "void",
            Outcome.VOID,
            "absent",
            Outcome.ABSENT);
    private static final Map<String, EndpointUpdateKind> UPDATE_KINDS = Map.of(
            "patch",
            EndpointUpdateKind.DELTA,
            "whole",
            EndpointUpdateKind.SNAPSHOT,
            "stale_copy",
            EndpointUpdateKind.CACHED,
            "broken",
            EndpointUpdateKind.FAILED);
    private static final InstanceStatus[] INSTANCE_STATUSES = {
        InstanceStatus.UNTOLD,
        InstanceStatus.STOOD,
        InstanceStatus.LOAD_BEGUN,
        InstanceStatus.LOAD_JOINED,
        InstanceStatus.LOAD_FAILED
    };

    /** The detail of an ended attempt is its count of concurrent requests times this, plus its instance status. */
    private static final int DETAIL_STATUS_BASE = 8;

    private static final int MIN_ENDPOINT_VALUES = 6;

    private final Map<Long, List<Endpoint>> endpointTables = new HashMap<>();

    /** Reads the event of a message; the row is positioned after the router's number. */
    Event read(String name, JsonRowReader row) {
        return switch (name) {
            case "DirectoryUpdate" -> endpointsUpdated(row);
            case "Demand" -> requestArrived(row);
            case "Streaming" -> new Event.StreamStarted(
                    row.text("Txn"),
                    (int) row.wholeNumber("SeqNo"),
                    row.text("Worker"),
                    new TimeSpan(row.wholeNumber("TookNs")));
            case "Settled" -> attemptEnded(row);
            case "ClientLeft" -> new Event.ClientDisconnected(row.text("Txn"));
            case "Due" -> new Event.TimerFired(row.text("Tag"));
            case "ProbeResult" -> healthCheckCompleted(row);
            case "BroughtUp" -> loadCompleted(row);
            case "FromPeer" -> new Event.GossipReceived((int) row.wholeNumber("OriginPeer"), row.text("Contents"));
            default -> throw row.invalidInput("message", "unknown event " + name);
        };
    }

    private Event endpointsUpdated(JsonRowReader row) {
        String mode = row.text("Mode");
        row.wholeNumberOrNull("Gen");
        Long table = row.wholeNumberOrNull("Table");
        EndpointUpdateKind kind = constantOf(row, "Mode", UPDATE_KINDS, mode);
        List<Endpoint> endpoints = kind == EndpointUpdateKind.FAILED ? List.of() : endpointTables.get(table);
        if (endpoints == null) {
            throw row.invalidInput("Table", "no endpoint list with this number was received");
        }
        return new Event.EndpointsUpdated(kind, endpoints);
    }

    private static Event healthCheckCompleted(JsonRowReader row) {
        Outcome outcome = outcome(row);
        return new Event.HealthCheckCompleted(
                row.text("Worker"), outcome, new TimeSpan(row.wholeNumber("TookNs")), report(row));
    }

    private static Event loadCompleted(JsonRowReader row) {
        String worker = row.text("Worker");
        Long instances = row.wholeNumberOrNull("NInst");
        String function = row.text("TargetFn");
        Outcome outcome = outcome(row);
        int loaded = instances == null ? 0 : instances.intValue();
        return new Event.LoadCompleted(worker, function, outcome, loaded, new TimeSpan(row.wholeNumber("TookNs")));
    }

    private static Event requestArrived(JsonRowReader row) {
        String requestId = row.text("Txn");
        Long concurrency = row.wholeNumberOrNull("Width");
        Double loadMillis = row.numberOrNull("StartMs");
        boolean clientRetry = row.flag("Resent");
        String tenant = tenant(row);
        TimeSpan timeLeft = new TimeSpan(row.wholeNumber("RemainingNs"));
        String requestClass = row.text("Priority");
        Long workNanos = row.wholeNumberOrNull("WorkHintNs");
        Double memoryMb = row.numberOrNull("RamMb");
        String function = row.textOrNull("TargetFn");
        return new Event.RequestArrived(
                requestId,
                function == null ? "" : function,
                requestClass,
                tenant,
                timeLeft,
                concurrency == null ? 1 : concurrency.intValue(),
                memoryMb == null ? 0 : memoryMb,
                loadMillis == null ? null : TimeSpan.seconds(loadMillis / 1e3),
                workNanos == null ? null : new TimeSpan(workNanos),
                clientRetry,
                row.flag("Write"));
    }

    /** Reads the tenant's name; null if the message has null or 0, as it does without tenants. */
    private static String tenant(JsonRowReader row) {
        Object tenant = row.tree("Org");
        if (tenant == null || tenant instanceof Number number && number.longValue() == 0) {
            return null;
        }
        if (tenant instanceof String name) {
            return name;
        }
        throw row.invalidInput("Org", "a string was expected");
    }

    private static Event attemptEnded(JsonRowReader row) {
        String requestId = row.text("Txn");
        boolean requestCompleted = row.flag("Last");
        Long detailOrNull = row.wholeNumberOrNull("Detail");
        int detail = detailOrNull == null ? 0 : detailOrNull.intValue();
        String worker = row.text("Worker");
        Outcome outcome = outcome(row);
        TimeSpan elapsed = new TimeSpan(row.wholeNumber("TookNs"));
        int attempt = (int) row.wholeNumber("SeqNo");
        boolean counted = outcome == Outcome.SUCCESS || outcome == Outcome.FULL;
        int status = detail % DETAIL_STATUS_BASE;
        if (detail < 0 || status >= INSTANCE_STATUSES.length) {
            throw row.invalidInput("Detail", "invalid detail " + detail);
        }
        return new Event.AttemptEnded(
                requestId,
                attempt,
                worker,
                outcome,
                elapsed,
                requestCompleted,
                INSTANCE_STATUSES[status],
                counted ? detail / DETAIL_STATUS_BASE : 0,
                report(row));
    }

    private static Outcome outcome(JsonRowReader row) {
        return constantOf(row, "Verdict", OUTCOMES, row.text("Verdict"));
    }

    private static WorkerLoadReport report(JsonRowReader row) {
        JsonNodeReader load = new JsonNodeReader(row, "Load", row.tree("Load"));
        if (load.value() == null) {
            return null;
        }
        return LoadReport.of(value -> load.at(value).number(Double.NaN));
    }

    /** Reads an endpoint list and stores it by its number for the updates that refer to it. */
    void readEndpointTable(JsonRowReader row) {
        long table = row.wholeNumber("Table");
        JsonNodeReader entries = new JsonNodeReader(row, "Entries", row.tree("Entries"));
        endpointTables.put(table, entries.each(EventReader::endpoint));
    }

    private static Endpoint endpoint(JsonNodeReader entry) {
        List<JsonNodeReader> values = entry.each(value -> value);
        if (values.size() < MIN_ENDPOINT_VALUES) {
            throw entry.row().invalidInput(entry.path(), "an entry with at least six values was expected");
        }
        TimeSpan startedAt = values.size() > MIN_ENDPOINT_VALUES ? values.get(6).timeSpan() : TimeSpan.ZERO;
        return new Endpoint(
                values.get(0).text(),
                values.get(1).textOr(""),
                values.get(2).textOr(""),
                values.get(3).wholeNumber(0),
                values.get(4).oneOf(EndpointStates.BY_NAME),
                values.get(5).number(1),
                startedAt.nanos() == 0 ? null : new MonotonicTime(startedAt.nanos()));
    }

    private static <T> T constantOf(JsonRowReader row, String field, Map<String, T> constantsByName, String name) {
        T constant = constantsByName.get(name);
        if (constant == null) {
            throw row.invalidInput(field, "unknown word " + name);
        }
        return constant;
    }
}
