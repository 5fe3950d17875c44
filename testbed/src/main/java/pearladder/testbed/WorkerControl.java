package pearladder.testbed;

import java.io.IOException;
import java.net.URLEncoder;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Client of the control endpoint of the emulated workers: lists the running workers and injects faults into them. */
final class WorkerControl {
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    /** Number of space-separated fields in a line of the worker list: ID, zone, state and incarnation. */
    private static final int WORKER_FIELDS = 4;

    private final LoopbackHttpClient http;
    private final int port;
    private final Consumer<String> failures;

    /**
     * Creates a client.
     *
     * @param failures receives a line for each failed request
     */
    WorkerControl(LoopbackHttpClient http, int port, Consumer<String> failures) {
        this.http = http;
        this.port = port;
        this.failures = failures;
    }

    /** Returns the IDs of the running workers in a zone, or in all zones if the zone is empty. */
    List<String> running(String zone) {
        List<String> running = new ArrayList<>();
        for (String line : get("/engines").split("\n")) {
            String[] fields = line.split(" ");
            if (fields.length == WORKER_FIELDS
                    && fields[2].equals("up")
                    && (zone.isEmpty() || fields[1].equals(zone))) {
                running.add(fields[0]);
            }
        }
        return running;
    }

    /** Injects a fault; docs/emulator.md describes the faults and the meaning of the figure. */
    void inject(String fault, List<String> workers, String model, double figure) {
        String modelParameter = model.isEmpty() ? "" : "&model=" + URLEncoder.encode(model, StandardCharsets.UTF_8);
        get("/do?what=" + fault + "&engines=" + String.join(",", workers) + "&figure=" + figure + modelParameter);
    }

    private String get(String path) {
        try {
            HttpResponse<String> response = http.get(port, path.replace("~", "%7E"), TIMEOUT);
            if (response.statusCode() != LoopbackHttpClient.OK) {
                failures.accept("a fault could not be injected: " + path + ": " + response.body());
            }
            return response.body();
        } catch (IOException failed) {
            failures.accept("a fault could not be injected: " + path + ": " + failed);
            return "";
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            return "";
        }
    }
}
