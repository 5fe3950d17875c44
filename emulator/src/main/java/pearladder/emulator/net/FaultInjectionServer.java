package pearladder.emulator.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import pearladder.emulator.EndpointRegistry;
import pearladder.emulator.FaultCommand;
import pearladder.emulator.ModelStore;
import pearladder.emulator.WorkerModel;
import pearladder.kserve.JsonBodies;

/**
 * A loopback port by which a scenario injects faults: POST /do?what=slow&amp;engines=e-1,e-2&amp;figure=5. Without
 * engines a command is for all of them. GET /engines lists the workers. Commands are those of {@link FaultCommand}
 * and of the methods here.
 */
public final class FaultInjectionServer {
    private static final String WORKERS_PATH = "/engines";
    private static final String NETWORK_PREFIX = "cable-";
    private static final String ALL_MODELS = "*";

    private final Fleet fleet;

    private FaultInjectionServer(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Listens on a port given by the system, which it returns. */
    public static int start(Vertx vertx, Fleet fleet) {
        FaultInjectionServer control = new FaultInjectionServer(fleet);
        return fleet.call(() -> vertx.createHttpServer(
                        new HttpServerOptions().setHost("127.0.0.1").setPort(0))
                .requestHandler(control::handle)
                .listen()
                .map(HttpServer::actualPort));
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(WORKERS_PATH)) {
            StringBuilder lines = new StringBuilder();
            fleet.ids().forEach(id -> lines.append(describe(id)).append('\n'));
            request.response().end(lines.toString());
            return;
        }
        FaultCommand command = new FaultCommand(
                String.valueOf(request.getParam("what")),
                workers(request.getParam("engines")),
                parameter(request, "model", ALL_MODELS),
                Double.parseDouble(parameter(request, "figure", "0")));
        Optional<Future<Void>> done = command.what().startsWith(NETWORK_PREFIX)
                ? applyToNetwork(command, parameter(request, "router", ""))
                : apply(command);
        done.ifPresentOrElse(
                future -> respondWhenDone(request, future),
                () -> request.response().setStatusCode(400).end(JsonBodies.error("unknown deed " + command.what())));
    }

    private static String parameter(HttpServerRequest request, String name, String otherwise) {
        String value = request.getParam(name);
        return value == null ? otherwise : value;
    }

    /** The line of a worker: id, hall, "up" where it takes requests, and the number of requests that it holds. */
    private String describe(String id) {
        WorkerModel worker = fleet.engine(id).engine();
        String state = worker.isUp() && !worker.isDraining() ? "up" : "down";
        return id + ' ' + fleet.hall(id) + ' ' + state + ' ' + worker.heldRequests();
    }

    private List<String> workers(String ids) {
        if (ids == null || ids.isEmpty()) {
            return fleet.ids();
        }
        return Arrays.stream(ids.split(",")).filter(fleet.ids()::contains).toList();
    }

    private static void respondWhenDone(HttpServerRequest request, Future<Void> done) {
        done.onSuccess(nothing -> request.response().setStatusCode(200).end("{}"));
        done.onFailure(failure ->
                request.response().setStatusCode(500).end(JsonBodies.error(String.valueOf(failure.getMessage()))));
    }

    /** Empty where the command is unknown. */
    private Optional<Future<Void>> apply(FaultCommand command) {
        Optional<Consumer<WorkerModel>> workerFault = command.workerFault();
        if (workerFault.isPresent()) {
            return forEachServer(command, server -> workerFault.get().accept(server.engine()));
        }
        Optional<Consumer<ModelStore>> modelStoreFault = command.modelStoreFault();
        if (modelStoreFault.isPresent()) {
            modelStoreFault.get().accept(fleet.modelStore());
            return done();
        }
        Optional<Consumer<EndpointRegistry>> registryFault = command.registryFault();
        if (registryFault.isPresent()) {
            registryFault.get().accept(fleet.roll());
            return done();
        }
        return switch (command.what()) {
            case "hang" -> forEachServer(command, server -> server.setHanging(command.isOn()));
            case "misname" -> forEachServer(command, server -> server.setMisnamingModels(command.isOn()));
            case "garble" -> forEachServer(command, server -> server.setTruncatingResponses(command.isOn()));
            case "drain" -> forEachId(command, fleet::drain);
            case "replace" -> forEachId(command, id -> fleet.replace(id, command.nanos()));
            case "kill" -> untilAllDone(command, fleet::kill);
            case "restart" -> untilAllDone(command, fleet::restart);
            case "list-cut" -> {
                fleet.list().cut();
                yield done();
            }
            default -> Optional.empty();
        };
    }

    /** Empty where the command is unknown, or the fleet has no fault proxy. */
    private Optional<Future<Void>> applyToNetwork(FaultCommand command, String router) {
        FaultProxy proxy = fleet.faultProxy();
        if (proxy == null) {
            return Optional.empty();
        }
        return switch (command.what()) {
            case "cable-cut" -> forEachId(command, id -> proxy.setCut(router, id, command.isOn()));
            case "cable-deaf" -> forEachId(command, id -> proxy.setNotAccepting(id, command.isOn()));
            case "cable-reset" -> forEachId(command, id -> proxy.reset(router, id));
            default -> Optional.empty();
        };
    }

    private Optional<Future<Void>> forEachServer(FaultCommand command, Consumer<WorkerServer> action) {
        return forEachId(command, id -> action.accept(fleet.engine(id)));
    }

    private static Optional<Future<Void>> forEachId(FaultCommand command, Consumer<String> action) {
        command.workers().forEach(action);
        return done();
    }

    private static Optional<Future<Void>> untilAllDone(FaultCommand command, Function<String, Future<Void>> action) {
        List<Future<Void>> all = command.workers().stream().map(action).toList();
        return Optional.of(Future.all(all).mapEmpty());
    }

    private static Optional<Future<Void>> done() {
        return Optional.of(Future.succeededFuture());
    }
}
