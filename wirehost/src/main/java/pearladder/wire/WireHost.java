package pearladder.wire;

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
import pearladder.api.Action;
import pearladder.api.Dispatcher;
import pearladder.api.Event;
import pearladder.api.Event.Copy;
import pearladder.api.Event.Listing;
import pearladder.api.Event.Report;
import pearladder.api.Facts;
import pearladder.api.Moment;
import pearladder.api.Outcome;
import pearladder.api.Span;
import pearladder.terms.BadInput;
import pearladder.terms.FactsReader;
import pearladder.terms.LoadReport;
import pearladder.terms.Node;
import pearladder.terms.Row;
import pearladder.terms.Standings;

/** Hosts many instances of the module on the simulator's wire: batches of lines in, one reply a batch out. */
public final class WireHost {
    /** Makes one instance of the module. */
    public interface Maker {
        Dispatcher make(long seed, Facts facts);
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
    private static final Map<String, Event.ListKind> LIST_KINDS = Map.of(
            "patch",
            Event.ListKind.CHANGES,
            "whole",
            Event.ListKind.WHOLE,
            "stale_copy",
            Event.ListKind.REMEMBERED,
            "broken",
            Event.ListKind.FAILED);
    private static final Copy[] COPIES = {Copy.UNTOLD, Copy.STOOD, Copy.LOAD_BEGUN, Copy.LOAD_JOINED, Copy.LOAD_FAILED};

    private final Maker maker;
    private final JsonFactory json = new JsonFactory();
    private final Map<Long, Dispatcher> instances = new HashMap<>();
    private final Map<Long, List<Listing>> rosters = new HashMap<>();
    private final Set<Long> faulted = new HashSet<>();
    private Moment now;
    private boolean inBatch;
    private long line;

    public WireHost(Maker maker) {
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
                Row row = new Row(parser, line);
                handle(row.text("message"), row, reply);
            }
        }
        if (inBatch) {
            throw new BadInput("line " + line + ", message: the input ended inside a batch");
        }
    }

    private void handle(String name, Row row, JsonGenerator reply) throws IOException {
        if (name.equals("Frame")) {
            if (inBatch) {
                throw row.bad("message", "a batch begins inside another");
            }
            now = new Moment(row.whole("clock"));
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
                rosters.put(table, listings(new Node(row, "Entries", row.tree("Entries"))));
                row.close();
            }
            case "Begin" -> {
                long instance = row.whole("I");
                long seed = row.whole("RandomSeed");
                Facts facts = FactsReader.read(new Node(row, "Facts", row.present("Facts", row.tree("Facts"))));
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
                Dispatcher dispatcher = dispatcher(row, instance);
                Event event = event(name, row);
                row.close();
                act(instance, dispatcher, event, reply);
            }
        }
    }

    private Dispatcher dispatcher(Row row, long instance) {
        Dispatcher dispatcher = instances.get(instance);
        if (dispatcher == null) {
            throw row.bad("I", "instance " + instance + " has not begun");
        }
        return dispatcher;
    }

    private void act(long instance, Dispatcher dispatcher, Event event, JsonGenerator reply) throws IOException {
        if (faulted.contains(instance)) {
            return;
        }
        List<Action> actions;
        try {
            actions = dispatcher.on(now, event);
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

    private Event event(String name, Row row) {
        return switch (name) {
            case "DirectoryUpdate" -> {
                String mode = row.text("Mode");
                row.wholeOrNull("Gen");
                Long table = row.wholeOrNull("Table");
                Event.ListKind kind = word(row, "Mode", LIST_KINDS, mode);
                List<Listing> entries = kind == Event.ListKind.FAILED ? List.of() : rosters.get(table);
                if (entries == null) {
                    throw row.bad("Table", "no such roster");
                }
                yield new Event.Listed(kind, entries);
            }
            case "Demand" -> demand(row);
            case "Streaming" -> new Event.StreamBegan(
                    row.text("Txn"), (int) row.whole("SeqNo"), row.text("Worker"), new Span(row.whole("TookNs")));
            case "Settled" -> settled(row);
            case "ClientLeft" -> new Event.ClientLeft(row.text("Txn"));
            case "Due" -> new Event.Due(row.text("Tag"));
            case "ProbeResult" -> {
                Outcome outcome = word(row, "Verdict", OUTCOMES, row.text("Verdict"));
                yield new Event.Probed(row.text("Worker"), outcome, new Span(row.whole("TookNs")), report(row));
            }
            case "BroughtUp" -> {
                String worker = row.text("Worker");
                Long copies = row.wholeOrNull("NInst");
                String function = row.text("TargetFn");
                Outcome outcome = word(row, "Verdict", OUTCOMES, row.text("Verdict"));
                yield new Event.LoadAnswered(
                        worker,
                        function,
                        outcome,
                        copies == null ? 0 : copies.intValue(),
                        new Span(row.whole("TookNs")));
            }
            case "FromPeer" -> new Event.PeerSaid((int) row.whole("OriginPeer"), row.text("Contents"));
            default -> throw row.bad("message", "unknown event " + name);
        };
    }

    private Event demand(Row row) {
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
        Span left = new Span(row.whole("RemainingNs"));
        String category = row.text("Priority");
        Long hint = row.wholeOrNull("WorkHintNs");
        Double memory = row.numberOrNull("RamMb");
        String function = row.textOrNull("TargetFn");
        return new Event.CallCame(
                call,
                function == null ? "" : function,
                category,
                (String) account,
                left,
                lanes == null ? 1 : lanes.intValue(),
                memory == null ? 0 : memory,
                startMs == null ? null : Span.seconds(startMs / 1e3),
                hint == null ? null : new Span(hint),
                resent,
                row.flag("Write"));
    }

    private Event settled(Row row) {
        String call = row.text("Txn");
        boolean over = row.flag("Last");
        Long detail = row.wholeOrNull("Detail");
        int told = detail == null ? 0 : detail.intValue();
        String worker = row.text("Worker");
        Outcome outcome = word(row, "Verdict", OUTCOMES, row.text("Verdict"));
        Span took = new Span(row.whole("TookNs"));
        int leg = (int) row.whole("SeqNo");
        boolean counted = outcome == Outcome.SUCCESS || outcome == Outcome.FULL;
        int copy = told % 8;
        if (told < 0 || copy >= COPIES.length) {
            throw row.bad("Detail", "unknown note " + told);
        }
        return new Event.LegEnded(
                call, leg, worker, outcome, took, over, COPIES[copy], counted ? told / 8 : 0, report(row));
    }

    private static Report report(Row row) {
        Node load = new Node(row, "Load", row.tree("Load"));
        if (load.value() == null) {
            return null;
        }
        return LoadReport.of(value -> load.at(value).number(Double.NaN));
    }

    private static List<Listing> listings(Node entries) {
        return entries.each(entry -> {
            List<Node> values = entry.each(value -> value);
            if (values.size() < 6) {
                throw entry.row().bad(entry.path(), "an entry has at least six values");
            }
            Span since = values.size() > 6 ? values.get(6).span() : Span.NONE;
            return new Listing(
                    values.get(0).text(),
                    values.get(1).textOr(""),
                    values.get(2).textOr(""),
                    values.get(3).whole(0),
                    values.get(4).oneOf(Standings.WORDS),
                    values.get(5).number(1),
                    since.nanos() == 0 ? null : new Moment(since.nanos()));
        });
    }

    private static <T> T word(Row row, String field, Map<String, T> words, String word) {
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
        if (action instanceof Action.Send send) {
            begin(reply, "Relay", instance);
            reply.writeString(send.call());
            reply.writeString(send.worker());
            reply.writeNumber(send.limit().nanos());
        } else if (action instanceof Action.Wake wake) {
            begin(reply, "NotifyMe", instance);
            reply.writeNumber(wake.at().nanos());
            reply.writeString(wake.tag());
        } else if (action instanceof Action.Cancel cancel) {
            begin(reply, "AbortAttempt", instance);
            reply.writeString(cancel.call());
            reply.writeNumber(cancel.leg());
        } else if (action instanceof Action.Dismiss dismiss) {
            begin(reply, "Decline", instance);
            reply.writeString(dismiss.call());
            reply.writeNumber(dismiss.retryAfter().nanos());
        } else if (action instanceof Action.Terminate terminate) {
            begin(reply, "ReportFailure", instance);
            reply.writeString(terminate.call());
        } else if (action instanceof Action.Hold hold) {
            begin(reply, "HoldThere", instance);
            reply.writeString(hold.worker());
            reply.writeString(hold.function());
            reply.writeNumber(hold.copies());
        } else if (action instanceof Action.Unload unload) {
            begin(reply, "Evict", instance);
            reply.writeString(unload.function());
            reply.writeString(unload.worker());
        } else if (action instanceof Action.Probe probe) {
            begin(reply, "Ping", instance);
            reply.writeString(probe.worker());
        } else if (action instanceof Action.CloseIdle close) {
            begin(reply, "HangUp", instance);
            reply.writeString(close.worker());
        } else if (action instanceof Action.Subscribe subscribe) {
            begin(reply, "Watch", instance);
            reply.writeBoolean(subscribe.on());
        } else if (action instanceof Action.FetchList) {
            begin(reply, "Fetch", instance);
        } else if (action instanceof Action.Log log) {
            begin(reply, "SayLog", instance);
            reply.writeString(log.text());
        } else if (action instanceof Action.Tell tell) {
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
