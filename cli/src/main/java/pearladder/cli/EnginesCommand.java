package pearladder.cli;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.nio.file.Path;
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

@Command(
        name = "engines",
        mixinStandardHelpOptions = true,
        description = "Run stand-in engines, their shelf and their list on loopback until told to end.")
final class EnginesCommand implements Callable<Integer> {
    @Option(
            names = {"-c", "--config"},
            required = true,
            paramLabel = "FILE",
            description = "a file with a fleet")
    private Path file;

    @Option(names = "--tape", paramLabel = "FILE", description = "keep what the engines see")
    private Path tape;

    @Option(names = "--list-port", defaultValue = "0", paramLabel = "PORT", description = "port of the list service")
    private int listPort;

    @Override
    public Integer call() throws IOException {
        Logs.setUp(Logs.Form.AUTO);
        ConfigValue value = YamlParser.read(file);
        FleetPlan plan = FleetPlan.read(value.at("fleet"));
        value.done(java.util.Set.of("fleet"));
        Vertx vertx = Vertx.vertx();
        Consumer<Observation> out = one -> {};
        if (tape != null) {
            ObservationLog writer = new ObservationLog(tape);
            vertx.setPeriodic(200, tick -> writer.flush());
            Runtime.getRuntime().addShutdownHook(new Thread(writer::flush, "tape"));
            out = writer;
        }
        Fleet fleet = Fleet.start(vertx, plan, listPort, out);
        int control = FaultInjectionServer.start(vertx, fleet);
        System.out.println("{\"list\":" + fleet.listPort() + ",\"control\":" + control + ",\"engines\":"
                + plan.engines().size() + "}");
        return Commands.RUNNING;
    }
}
