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
import pearladder.routing.api.MonotonicTime;
import pearladder.routing.api.RoutingPolicy;
import pearladder.routing.api.RoutingSettings;
import pearladder.settings.InvalidInputException;
import pearladder.settings.JsonNodeReader;
import pearladder.settings.JsonRowReader;
import pearladder.settings.RoutingSettingsParser;

/** Runs the policies of any number of routers on the simulator's protocol: replies once to each batch of lines. */
public final class SimulatorAdapter {
    /** Creates the policy of one router. */
    public interface PolicyFactory {
        /** Creates a policy without state. */
        RoutingPolicy create(long seed, RoutingSettings settings);
    }

    private static final int BUFFER_BYTES = 1 << 16;

    private final PolicyFactory factory;
    private final JsonFactory json = new JsonFactory();
    private final EventReader eventReader = new EventReader();
    private final Map<Long, RoutingPolicy> policies = new HashMap<>();
    private final Set<Long> failedRouters = new HashSet<>();
    private MonotonicTime now;
    private boolean inBatch;
    private long line;

    /** Creates an adapter without routers, which are started by the simulator's messages. */
    public SimulatorAdapter(PolicyFactory factory) {
        this.factory = factory;
    }

    /**
     * Replies to batches until the input ends.
     *
     * @throws InvalidInputException if a line violates the protocol; the message names the line and the field
     */
    public void serve(InputStream in, OutputStream out) throws IOException {
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_BYTES);
        JsonGenerator reply = json.createGenerator(new BufferedOutputStream(out, BUFFER_BYTES));
        reply.setPrettyPrinter(new MinimalPrettyPrinter("\n"));
        ActionWriter writer = new ActionWriter(reply);
        String text;
        while ((text = reader.readLine()) != null) {
            line++;
            if (!text.isBlank()) {
                handleLine(text, writer);
            }
        }
        if (inBatch) {
            throw new InvalidInputException("line " + line + ", message: the input ended inside a batch");
        }
    }

    private void handleLine(String text, ActionWriter writer) throws IOException {
        try (JsonParser parser = json.createParser(text)) {
            JsonRowReader row = new JsonRowReader(parser, line);
            String message = row.text("message");
            if (message.equals("Frame")) {
                beginBatch(row);
            } else if (inBatch) {
                handleMessage(message, row, writer);
            } else {
                throw row.invalidInput("message", message + " outside a batch");
            }
        }
    }

    private void beginBatch(JsonRowReader row) {
        if (inBatch) {
            throw row.invalidInput("message", "a batch begins before the previous one has ended");
        }
        now = new MonotonicTime(row.wholeNumber("clock"));
        inBatch = true;
        row.close();
    }

    private void handleMessage(String message, JsonRowReader row, ActionWriter writer) throws IOException {
        switch (message) {
            case "Commit" -> {
                row.close();
                writer.writeFinished();
                inBatch = false;
            }
            case "Roster" -> {
                eventReader.readEndpointTable(row);
                row.close();
            }
            case "Begin" -> beginRouter(row);
            case "Destroy" -> destroyRouter(row);
            default -> handleEvent(message, row, writer);
        }
    }

    private void beginRouter(JsonRowReader row) {
        long router = row.wholeNumber("I");
        long seed = row.wholeNumber("RandomSeed");
        Object settingsTree = row.requirePresent("Facts", row.tree("Facts"));
        RoutingSettings settings = RoutingSettingsParser.read(new JsonNodeReader(row, "Facts", settingsTree));
        row.close();
        failedRouters.remove(router);
        policies.put(router, factory.create(seed, settings));
    }

    private void destroyRouter(JsonRowReader row) {
        long router = row.wholeNumber("I");
        row.close();
        policy(row, router);
        policies.remove(router);
    }

    private void handleEvent(String message, JsonRowReader row, ActionWriter writer) throws IOException {
        long router = row.wholeNumber("I");
        RoutingPolicy policy = policy(row, router);
        Event event = eventReader.read(message, row);
        row.close();
        if (failedRouters.contains(router)) {
            return;
        }
        List<Action> actions;
        try {
            actions = policy.handle(now, event);
        } catch (RuntimeException failure) {
            failedRouters.add(router);
            StackTraceElement[] trace = failure.getStackTrace();
            writer.writePolicyFailure(router, failure + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (Action action : actions) {
            writer.write(router, action);
        }
    }

    private RoutingPolicy policy(JsonRowReader row, long router) {
        RoutingPolicy policy = policies.get(router);
        if (policy == null) {
            throw row.invalidInput("I", "router " + router + " has not been started");
        }
        return policy;
    }
}
