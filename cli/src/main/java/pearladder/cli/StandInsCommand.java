package pearladder.cli;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;
import pearladder.emulator.FleetPlan;
import pearladder.emulator.Observation;
import pearladder.emulator.ObservationLog;
import pearladder.emulator.net.FaultInjectionServer;
import pearladder.emulator.net.Fleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs stand-ins for workers, a model store and discovery, for tests and scenarios. */
@Command(
        name = "engines",
        mixinStandardHelpOptions = true,
        description = "Run stand-in workers, their model store and discovery on loopback until stopped.")
final class StandInsCommand implements Callable<Integer> {
    private static final long FLUSH_MILLIS = 200;

    @Option(
            names = {"-c", "--config"},
            required = true,
            paramLabel = "FILE",
            description = "the fleet's file")
    private Path file;

    @Option(names = "--tape", paramLabel = "FILE", description = "write an observation log of the workers")
    private Path observationFile;

    @Option(names = "--list-port", defaultValue = "0", paramLabel = "PORT", description = "port of discovery")
    private int discoveryPort;

    @Override
    public Integer call() throws IOException {
        Logs.setUp(Logs.Form.AUTO);
        ConfigValue value = YamlParser.parse(file);
        FleetPlan plan = FleetPlan.read(value.at("fleet"));
        value.requireValid(Set.of("fleet"));
        Vertx vertx = Vertx.vertx();
        Consumer<Observation> observer = observation -> {};
        if (observationFile != null) {
            ObservationLog observationLog = new ObservationLog(observationFile);
            vertx.setPeriodic(FLUSH_MILLIS, tick -> observationLog.flush());
            Runtime.getRuntime().addShutdownHook(new Thread(observationLog::flush, "observation-log"));
            observer = observationLog;
        }
        Fleet fleet = Fleet.start(vertx, plan, discoveryPort, observer);
        int controlPort = FaultInjectionServer.start(vertx, fleet);
        System.out.println("{\"list\":" + fleet.discoveryPort() + ",\"control\":" + controlPort + ",\"engines\":"
                + plan.workers().size() + "}");
        return Commands.RUNNING;
    }
}
