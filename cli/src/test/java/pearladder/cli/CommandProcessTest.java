package pearladder.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pearladder.emulator.Observation;
import pearladder.emulator.ObservationLog;
import pearladder.testbed.InvariantChecker;
import pearladder.testbed.Scenario;

/**
 * Commands run as processes: a scenario with injected faults, a router with a bad file or a full disk, the adapter.
 * The scenario's time tolerance is large, so that the result is the same on a slow machine.
 */
class CommandProcessTest {
    private static final String SCENARIO =
            """
            day: {name: small, lasting: 12 s, seed: 9, halls: [east, west], routers: 2, rate: 50, slack: 2 s}
            clients: {tries: 3, pause: 150 ms, front_lag: 500 ms, leaving: 0.03}
            traffic:
              - {category: draft, share: 0.6, models: pair-, count: 24, work: 15 ms}
              - {category: commit, share: 0.2, models: pair-, count: 24, work: 15 ms}
              - {category: post, share: 0.2, models: pair-, count: 24, work: 15 ms}
            troubles:
              - {at: 2 s, lasting: 2 s, what: cut, share: 0.3}
              - {at: 3 s, lasting: 1 s, what: routers-killed, share: 0.5}
              - {at: 5 s, lasting: 3 s, what: rolling-deploy, share: 0.5}
              - {at: 6 s, lasting: 2 s, what: failing, share: 0.3, part: 0.8}
              - {at: 8 s, lasting: 2 s, what: hang, share: 0.2}
              - {at: 8 s, lasting: 0 s, what: reset, share: 1}
              - {at: 9 s, lasting: 1 s, what: refusing-shelf}
            router:
              categories:
                draft: {expected: 1 s, abandon: 2 s, effect: retriable}
                commit: {expected: 1 s, abandon: 2 s, effect: fingerprinted, remembered: 8 s}
                post: {expected: 1 s, abandon: 2 s, effect: binding}
              models:
                - {name: "pair-*", memory: 300 MB, lanes: 4, usual_load: 100 ms}
              rules:
                ration: {free: 4, share: 0.2, window: 5 s}
              copies: {kept: 2 s, orders: true, engine_memory: [4 GB]}
            fleet:
              cables: true
              list: {lag: 200 ms}
              kinds: {std: {cores: 4, memory: 4 GB, kept: 2 s}}
              models: [{name: "pair-*", memory: 300 MB, lanes: 4, fetch: 60 ms, start: 30 ms}]
              engines: [{name: engine, count: 6, kind: std, halls: [east, west]}]
            """;

    private static final String ROUTER_WITH_ADMIN =
            """
            router: {name: r1, listen: "127.0.0.1:0", admin: "127.0.0.1:0", data: "%s/data", stop_within: 1 s}
            list: {address: "127.0.0.1:1"}
            categories:
              draft: {expected: 1 s, abandon: 2 s, effect: retriable}
            models: [{name: "*", memory: 1 MB, lanes: 1}]
            """;

    private static final String ROLLOUT_TARGET =
            "{\"epoch\":%d,\"mode\":\"PAUSED\",\"step\":0,\"by\":\"ops\",\"wallMillis\":1,\"plan\":"
                    + "{\"model\":\"a\",\"from\":\"\",\"to\":\"2\",\"steps\":[1.0],\"hold\":{\"nanos\":1},"
                    + "\"leastCalls\":1,"
                    + "\"gate\":{\"excess\":0.1,\"wrongly\":0.01,\"missed\":0.05},\"onBreach\":\"PAUSE\"}}";

    @Test
    void scenarioWithFaultsKeepsTheInvariantsOverSockets(@TempDir Path folder)
            throws IOException, InterruptedException {
        Path script = folder.resolve("day.yaml");
        Files.writeString(script, SCENARIO);
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        Scenario.Result outcome = Scenario.run(
                script, folder, OwnProcess.command(), List.of(), new PrintStream(output, true, StandardCharsets.UTF_8));
        assertEquals(List.of(), outcome.verdict().violations());
        assertEquals(List.of(), outcome.faults());
        for (InvariantChecker.Invariant rule : InvariantChecker.Invariant.values()) {
            assertTrue(outcome.verdict().checkedCounts().get(rule) > 0, rule + " was never checked");
        }
        assertTrue(outcome.requests() > 450, "calls: " + outcome.requests());
        assertTrue(outcome.credit() > 0.3, "credit: " + outcome.credit());
        List<Observation> observations = new ArrayList<>();
        ObservationLog.read(folder.resolve("clients.tape"), observations::add);
        assertEquals(
                1,
                observations.stream()
                        .filter(observation -> observation.event().equals(Observation.KILLED))
                        .count());
        assertEquals(
                3,
                observations.stream()
                        .filter(observation -> observation.event().equals(Observation.STARTED))
                        .count());
        assertEquals(
                7,
                observations.stream()
                        .filter(observation -> observation.event().equals(Observation.FAULT_INJECTED))
                        .count());
        assertTrue(output.toString(StandardCharsets.UTF_8).contains("curl -i http://127.0.0.1:"));
    }

    @Test
    void routerDoesNotStartWithMistakesInItsFile(@TempDir Path folder) throws IOException, InterruptedException {
        Path file = folder.resolve("router.yaml");
        Files.writeString(file, "router: {name: r 1, listen: here}\nlist: {address: \"127.0.0.1:0\"}\nmodels: 3\n");
        Process process = new ProcessBuilder(command("router", "-c", file.toString()))
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, process.waitFor(), output);
        List<String> lines = output.lines().toList();
        assertTrue(lines.stream().allMatch(line -> line.matches(".*router\\.yaml:[0-9]+: [a-z_.]+: .+; .+")), output);
        for (String key : List.of("router.name", "router.listen", "list.address", "categories", "models")) {
            assertTrue(lines.stream().anyMatch(line -> line.contains(": " + key + ": ")), key + " in " + output);
        }
    }

    @Test
    void simulatorAdapterLoadsNoClassesOfTheRouter() throws IOException, InterruptedException {
        List<String> command = command("wirehost");
        command.add(1, "-Xlog:class+load:stdout");
        Process process = new ProcessBuilder(command).start();
        process.getOutputStream().write("[\"Frame\",1]\n[\"Commit\"]\n".getBytes(StandardCharsets.US_ASCII));
        process.getOutputStream().close();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, process.waitFor());
        assertTrue(output.contains("[\"Finished\"]") && output.contains("pearladder.simulator.SimulatorAdapter"));
        assertTrue(output.lines().noneMatch(line -> line.matches(".* (io\\.vertx|picocli|ch\\.qos|io\\.netty)\\..*")));
    }

    /** The disk is full for the rollout journal: files of the router's process may not grow past some kilobytes. */
    @Test
    void rolloutTargetIsRefusedOnAFullDiskAndTheRouterServesOn(@TempDir Path folder)
            throws IOException, InterruptedException {
        Path file = folder.resolve("router.yaml");
        Files.writeString(file, ROUTER_WITH_ADMIN.formatted(folder));
        List<String> routerCommand = command("router", "-c", file.toString());
        routerCommand.add(1, "-XX:-UsePerfData");
        List<String> limited = new ArrayList<>(List.of("sh", "-c", "ulimit -f 4; exec \"$@\"", "sh"));
        limited.addAll(routerCommand);
        Process process = new ProcessBuilder(limited)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
            String startLine = out.readLine();
            String adminUrl = "http://127.0.0.1:" + startLine.replaceAll(".*\"admin\":([0-9]+).*", "$1") + "/releases";
            HttpClient client = HttpClient.newHttpClient();
            int accepted = 0;
            HttpResponse<String> response;
            do {
                response = client.send(
                        HttpRequest.newBuilder(URI.create(adminUrl))
                                .POST(HttpRequest.BodyPublishers.ofString(ROLLOUT_TARGET.formatted(accepted + 1)))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
            } while (response.statusCode() == 200 && ++accepted < 100);
            assertEquals(409, response.statusCode(), response.body());
            assertTrue(
                    accepted > 2 && response.body().contains("the journal can't be written"),
                    accepted + " " + response.body());
            String status = client.send(
                            HttpRequest.newBuilder(URI.create(adminUrl)).build(), HttpResponse.BodyHandlers.ofString())
                    .body();
            assertTrue(status.contains("epoch " + accepted + ", paused"), status);
        } finally {
            process.destroy();
            assertEquals(0, process.waitFor());
        }
    }

    private static List<String> command(String... arguments) {
        List<String> command = new ArrayList<>(OwnProcess.command());
        command.addAll(List.of(arguments));
        return command;
    }
}
