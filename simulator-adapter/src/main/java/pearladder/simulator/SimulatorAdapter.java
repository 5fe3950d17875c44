package pearladder.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pearladder.routing.api.Action;
import pearladder.routing.api.Event;
import pearladder.routing.api.Event.Endpoint;
import pearladder.routing.api.Event.InstanceStatus;
import pearladder.routing.api.Event.WorkerLoadReport;
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.routing.api.TimeSpan;
import pearladder.settings.EndpointStates;
import pearladder.settings.InvalidInputException;
import pearladder.settings.JsonNodeReader;
import pearladder.settings.JsonRowReader;
import pearladder.settings.LoadReport;
import pearladder.settings.RoutingSettingsParser;

/** Hosts many instances of the module on the simulator's wire: batches of lines in, one reply a batch out. */
public final class SimulatorAdapter {
    /** Makes one instance of the module. */
    public interface Maker {
        RoutingPolicy make(long seed, RoutingSettings facts);
    }

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
    private static final Map<String, Event.EndpointUpdateKind> LIST_KINDS = Map.of(
            "patch",
            Event.EndpointUpdateKind.DELTA,
            "whole",
            Event.EndpointUpdateKind.SNAPSHOT,
            "stale_copy",
            Event.EndpointUpdateKind.CACHED,
            "broken",
            Event.EndpointUpdateKind.FAILED);
    private static final InstanceStatus[] COPIES = {
        InstanceStatus.UNTOLD,
        InstanceStatus.STOOD,
        InstanceStatus.LOAD_BEGUN,
        InstanceStatus.LOAD_JOINED,
        InstanceStatus.LOAD_FAILED
    };

    private final Maker maker;
    private final JsonFactory json = new JsonFactory();
    private final Map<Long, RoutingPolicy> instances = new HashMap<>();
    private final Map<Long, List<Endpoint>> rosters = new HashMap<>();
    private final Set<Long> faulted = new HashSet<>();
    private MonotonicTime now;
    private boolean inBatch;
    private long line;

    public SimulatorAdapter(Maker maker) {
        this.maker = maker;
    }

    public void serve(InputStream in, OutputStream out) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        JsonGenerator reply = json.createGenerator(new BufferedOutputStream(out, 1 << 16));
        reply.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
        String text;
        while ((text = reader.readLine()) != null) {
            line++;
            if (text.isBlank()) {
                continue;
            }
            try (JsonParser parser = json.createParser(text)) {
                JsonRowReader row = new JsonRowReader(parser, line);
                handle(row.text("message"), row, reply);
            }
        }
        if (inBatch) {
            throw new InvalidInputException("line " + line + ", message: the input ended inside a batch");
        }
    }

    private void handle(String name, JsonRowReader row, JsonGenerator reply) throws IOException {
        if (name.equals("Frame")) {
            if (inBatch) {
                throw row.bad("message", "a batch begins inside another");
            }
            now = new MonotonicTime(row.whole("clock"));
            inBatch = true;
            row.close();
            return;
        }
        if (!inBatch) {
            throw row.bad("message", name + " came outside a batch");
        }
        switch (name) {
            case "Commit" -> {
                row.close();
                reply.writeStartArray();
                reply.writeString("Finished");
                reply.writeEndArray();
                reply.writeRaw('\n');
                reply.flush();
                inBatch = false;
            }
            case "Roster" -> {
                long table = row.whole("Table");
                rosters.put(table, listings(new JsonNodeReader(row, "Entries", row.tree("Entries"))));
                row.close();
            }
            case "Begin" -> {
                long instance = row.whole("I");
                long seed = row.whole("RandomSeed");
                RoutingSettings facts = RoutingSettingsParser.read(
                        new JsonNodeReader(row, "Facts", row.present("Facts", row.tree("Facts"))));
                row.close();
                faulted.remove(instance);
                instances.put(instance, maker.make(seed, facts));
            }
            case "Destroy" -> {
                long instance = row.whole("I");
                row.close();
                dispatcher(row, instance);
                instances.remove(instance);
            }
            default -> {
                long instance = row.whole("I");
                RoutingPolicy dispatcher = dispatcher(row, instance);
                Event event = event(name, row);
                row.close();
                act(instance, dispatcher, event, reply);
            }
        }
    }

    private RoutingPolicy dispatcher(JsonRowReader row, long instance) {
        RoutingPolicy dispatcher = instances.get(instance);
        if (dispatcher == null) {
            throw row.bad("I", "instance " + instance + " has not begun");
        }
        return dispatcher;
    }

    private void act(long instance, RoutingPolicy dispatcher, Event event, JsonGenerator reply) throws IOException {
        if (faulted.contains(instance)) {
            return;
        }
        List<Action> actions;
        try {
            actions = dispatcher.handle(now, event);
        } catch (RuntimeException failure) {
            faulted.add(instance);
            StackTraceElement[] trace = failure.getStackTrace();
            begin(reply, "GiveIn", instance);
            reply.writeString(failure + (trace.length > 0 ? " at " + trace[0] : ""));
            end(reply);
            return;
        }
        for (Action action : actions) {
            write(instance, action, reply);
        }
    }

    private Event event(String name, JsonRowReader row) {
        return switch (name) {
            case "DirectoryUpdate" -> {
                String mode = row.text("Mode");
                row.wholeOrNull("Gen");
                Long table = row.wholeOrNull("Table");
                Event.EndpointUpdateKind kind = word(row, "Mode", LIST_KINDS, mode);
                List<Endpoint> entries = kind == Event.EndpointUpdateKind.FAILED ? List.of() : rosters.get(table);
                if (entries == null) {
                    throw row.bad("Table", "no such roster");
                }
                yield new Event.EndpointsUpdated(kind, entries);
            }
            case "Demand" -> demand(row);
            case "Streaming" -> new Event.StreamStarted(
                    row.text("Txn"), (int) row.whole("SeqNo"), row.text("Worker"), new TimeSpan(row.whole("TookNs")));
            case "Settled" -> settled(row);
            case "ClientLeft" -> new Event.ClientDisconnected(row.text("Txn"));
            case "Due" -> new Event.TimerFired(row.text("Tag"));
            case "ProbeResult" -> {
                Outcome outcome = word(row, "Verdict", OUTCOMES, row.text("Verdict"));
                yield new Event.HealthCheckCompleted(
                        row.text("Worker"), outcome, new TimeSpan(row.whole("TookNs")), report(row));
            }
            case "BroughtUp" -> {
                String worker = row.text("Worker");
                Long copies = row.wholeOrNull("NInst");
                String function = row.text("TargetFn");
                Outcome outcome = word(row, "Verdict", OUTCOMES, row.text("Verdict"));
                yield new Event.LoadCompleted(
                        worker,
                        function,
                        outcome,
                        copies == null ? 0 : copies.intValue(),
                        new TimeSpan(row.whole("TookNs")));
            }
            case "FromPeer" -> new Event.GossipReceived((int) row.whole("OriginPeer"), row.text("Contents"));
            default -> throw row.bad("message", "unknown event " + name);
        };
    }

    private Event demand(JsonRowReader row) {
        String call = row.text("Txn");
        Long lanes = row.wholeOrNull("Width");
        Double startMs = row.numberOrNull("StartMs");
        boolean resent = row.flag("Resent");
        Object account = row.tree("Org");
        if (account instanceof Number number && number.longValue() == 0) {
            account = null;
        }
        if (account != null && !(account instanceof String)) {
            throw row.bad("Org", "a text was expected");
        }
        TimeSpan left = new TimeSpan(row.whole("RemainingNs"));
        String category = row.text("Priority");
        Long hint = row.wholeOrNull("WorkHintNs");
        Double memory = row.numberOrNull("RamMb");
        String function = row.textOrNull("TargetFn");
        return new Event.RequestArrived(
                call,
                function == null ? "" : function,
                category,
                (String) account,
                left,
                lanes == null ? 1 : lanes.intValue(),
                memory == null ? 0 : memory,
                startMs == null ? null : TimeSpan.seconds(startMs / 1e3),
                hint == null ? null : new TimeSpan(hint),
                resent,
                row.flag("Write"));
    }

    private Event settled(JsonRowReader row) {
        String call = row.text("Txn");
        boolean over = row.flag("Last");
        Long detail = row.wholeOrNull("Detail");
        int told = detail == null ? 0 : detail.intValue();
        String worker = row.text("Worker");
        Outcome outcome = word(row, "Verdict", OUTCOMES, row.text("Verdict"));
        TimeSpan took = new TimeSpan(row.whole("TookNs"));
        int leg = (int) row.whole("SeqNo");
        boolean counted = outcome == Outcome.SUCCESS || outcome == Outcome.FULL;
        int copy = told % 8;
        if (told < 0 || copy >= COPIES.length) {
            throw row.bad("Detail", "unknown note " + told);
        }
        return new Event.AttemptEnded(
                call, leg, worker, outcome, took, over, COPIES[copy], counted ? told / 8 : 0, report(row));
    }

    private static WorkerLoadReport report(JsonRowReader row) {
        JsonNodeReader load = new JsonNodeReader(row, "Load", row.tree("Load"));
        if (load.value() == null) {
            return null;
        }
        return LoadReport.of(value -> load.at(value).number(Double.NaN));
    }

    private static List<Endpoint> listings(JsonNodeReader entries) {
        return entries.each(entry -> {
            List<JsonNodeReader> values = entry.each(value -> value);
            if (values.size() < 6) {
                throw entry.row().bad(entry.path(), "an entry has at least six values");
            }
            TimeSpan since = values.size() > 6 ? values.get(6).span() : TimeSpan.ZERO;
            return new Endpoint(
                    values.get(0).text(),
                    values.get(1).textOr(""),
                    values.get(2).textOr(""),
                    values.get(3).whole(0),
                    values.get(4).oneOf(EndpointStates.WORDS),
                    values.get(5).number(1),
                    since.nanos() == 0 ? null : new MonotonicTime(since.nanos()));
        });
    }

    private static <T> T word(JsonRowReader row, String field, Map<String, T> words, String word) {
        T meaning = words.get(word);
        if (meaning == null) {
            throw row.bad(field, "unknown word " + word);
        }
        return meaning;
    }

    private static void begin(JsonGenerator reply, String name, long instance) throws IOException {
        reply.writeStartArray();
        reply.writeString(name);
        reply.writeNumber(instance);
    }

    private static void end(JsonGenerator reply) throws IOException {
        reply.writeEndArray();
    }

    private static void write(long instance, Action action, JsonGenerator reply) throws IOException {
        if (action instanceof Action.SendAttempt send) {
            begin(reply, "Relay", instance);
            reply.writeString(send.requestId());
            reply.writeString(send.worker());
            reply.writeNumber(send.timeout().nanos());
        } else if (action instanceof Action.SetTimer wake) {
            begin(reply, "NotifyMe", instance);
            reply.writeNumber(wake.dueAt().nanos());
            reply.writeString(wake.tag());
        } else if (action instanceof Action.CancelAttempt cancel) {
            begin(reply, "AbortAttempt", instance);
            reply.writeString(cancel.requestId());
            reply.writeNumber(cancel.attempt());
        } else if (action instanceof Action.Reject dismiss) {
            begin(reply, "Decline", instance);
            reply.writeString(dismiss.requestId());
            reply.writeNumber(dismiss.retryAfter().nanos());
        } else if (action instanceof Action.Fail terminate) {
            begin(reply, "ReportFailure", instance);
            reply.writeString(terminate.requestId());
        } else if (action instanceof Action.LoadInstances hold) {
            begin(reply, "HoldThere", instance);
            reply.writeString(hold.worker());
            reply.writeString(hold.function());
            reply.writeNumber(hold.instances());
        } else if (action instanceof Action.UnloadInstances unload) {
            begin(reply, "Evict", instance);
            reply.writeString(unload.function());
            reply.writeString(unload.worker());
        } else if (action instanceof Action.CheckHealth probe) {
            begin(reply, "Ping", instance);
            reply.writeString(probe.worker());
        } else if (action instanceof Action.CloseIdleConnections close) {
            begin(reply, "HangUp", instance);
            reply.writeString(close.worker());
        } else if (action instanceof Action.WatchEndpoints subscribe) {
            begin(reply, "Watch", instance);
            reply.writeBoolean(subscribe.enabled());
        } else if (action instanceof Action.PollEndpoints) {
            begin(reply, "Fetch", instance);
        } else if (action instanceof Action.Log log) {
            begin(reply, "SayLog", instance);
            reply.writeString(log.text());
        } else if (action instanceof Action.SendGossip tell) {
            begin(reply, "Post", instance);
            if (tell.peer() == null) {
                reply.writeNull();
            } else {
                reply.writeNumber(tell.peer());
            }
            reply.writeString(tell.text());
        }
        end(reply);
    }
}
