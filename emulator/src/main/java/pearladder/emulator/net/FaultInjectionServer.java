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
import pearladder.emulator.FaultType;
import pearladder.emulator.ModelStore;
import pearladder.emulator.WorkerModel;
import pearladder.kserve.JsonBodies;

/**
 * An HTTP server on a loopback port for injecting faults: POST /do?what=slow&amp;engines=e-1,e-2&amp;figure=5. A
 * command without engines applies to all workers. GET /engines lists the workers. The values of "what" are the
 * names returned by {@link FaultType#word}.
 */
public final class FaultInjectionServer {
    private static final String WORKERS_PATH = "/engines";
    private static final String ALL_MODELS = "*";

    private final Fleet fleet;

    private FaultInjectionServer(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Starts a server on a port assigned by the system and returns the port. */
    public static int start(Vertx vertx, Fleet fleet) {
        FaultInjectionServer server = new FaultInjectionServer(fleet);
        return fleet.call(() -> vertx.createHttpServer(
                        new HttpServerOptions().setHost("127.0.0.1").setPort(0))
                .requestHandler(server::handle)
                .listen()
                .map(HttpServer::actualPort));
    }

    private void handle(HttpServerRequest request) {
        if (request.path().equals(WORKERS_PATH)) {
            StringBuilder lines = new StringBuilder();
            fleet.workerIds().forEach(id -> lines.append(describe(id)).append('\n'));
            request.response().end(lines.toString());
            return;
        }
        String word = String.valueOf(request.getParam("what"));
        Optional<Future<Void>> done = FaultType.of(word).flatMap(type -> apply(type, request));
        done.ifPresentOrElse(
                future -> respondWhenDone(request, future),
                () -> request.response().setStatusCode(400).end(JsonBodies.error("unknown fault " + word)));
    }

    private Optional<Future<Void>> apply(FaultType type, HttpServerRequest request) {
        FaultCommand command = new FaultCommand(
                type,
                workers(request.getParam("engines")),
                parameter(request, "model", ALL_MODELS),
                Double.parseDouble(parameter(request, "figure", "0")));
        return switch (type) {
            case NETWORK_CUT, NOT_ACCEPTING, CONNECTION_RESET -> applyToNetwork(
                    command, parameter(request, "router", ""));
            default -> apply(command);
        };
    }

    private static String parameter(HttpServerRequest request, String name, String defaultValue) {
        String value = request.getParam(name);
        return value == null ? defaultValue : value;
    }

    /** Describes a worker in a line: id, zone, "up" if it takes requests, otherwise "down", and requests held. */
    private String describe(String id) {
        WorkerModel worker = fleet.server(id).worker();
        String state = worker.isUp() && !worker.isDraining() ? "up" : "down";
        return id + ' ' + fleet.zoneOf(id) + ' ' + state + ' ' + worker.heldRequests();
    }

    private List<String> workers(String ids) {
        if (ids == null || ids.isEmpty()) {
            return fleet.workerIds();
        }
        return Arrays.stream(ids.split(",")).filter(fleet.workerIds()::contains).toList();
    }

    private static void respondWhenDone(HttpServerRequest request, Future<Void> done) {
        done.onSuccess(nothing -> request.response().setStatusCode(200).end("{}"));
        done.onFailure(failure ->
                request.response().setStatusCode(500).end(JsonBodies.error(String.valueOf(failure.getMessage()))));
    }

    /** Applies a command to the fleet; returns empty if the command is unknown. */
    private Optional<Future<Void>> apply(FaultCommand command) {
        Optional<Consumer<WorkerModel>> workerFault = command.workerFault();
        if (workerFault.isPresent()) {
            return forEachServer(command, server -> workerFault.get().accept(server.worker()));
        }
        Optional<Consumer<ModelStore>> modelStoreFault = command.modelStoreFault();
        if (modelStoreFault.isPresent()) {
            modelStoreFault.get().accept(fleet.modelStore());
            return completed();
        }
        Optional<Consumer<EndpointRegistry>> registryFault = command.registryFault();
        if (registryFault.isPresent()) {
            registryFault.get().accept(fleet.registry());
            return completed();
        }
        return switch (command.type()) {
            case HANGING -> forEachServer(command, server -> server.setHanging(command.isOn()));
            case MISNAMED_MODELS -> forEachServer(command, server -> server.setMisnamingModels(command.isOn()));
            case TRUNCATED_RESPONSES -> forEachServer(command, server -> server.setTruncatingResponses(command.isOn()));
            case DRAIN -> forEachId(command, fleet::drain);
            case REPLACE -> forEachId(command, id -> fleet.replace(id, command.durationNanos()));
            case KILL -> whenAllComplete(command, fleet::kill);
            case RESTART -> whenAllComplete(command, fleet::restart);
            case DISCOVERY_RESET -> {
                fleet.discoveryServer().resetWatches();
                yield completed();
            }
            default -> Optional.empty();
        };
    }

    /** Applies a network fault; returns empty if the command is unknown or the fleet has no fault proxy. */
    private Optional<Future<Void>> applyToNetwork(FaultCommand command, String router) {
        FaultProxy proxy = fleet.faultProxy();
        if (proxy == null) {
            return Optional.empty();
        }
        return switch (command.type()) {
            case NETWORK_CUT -> forEachId(command, id -> proxy.setCut(router, id, command.isOn()));
            case NOT_ACCEPTING -> forEachId(command, id -> proxy.setNotAccepting(id, command.isOn()));
            case CONNECTION_RESET -> forEachId(command, id -> proxy.reset(router, id));
            default -> Optional.empty();
        };
    }

    private Optional<Future<Void>> forEachServer(FaultCommand command, Consumer<WorkerServer> action) {
        return forEachId(command, id -> action.accept(fleet.server(id)));
    }

    private static Optional<Future<Void>> forEachId(FaultCommand command, Consumer<String> action) {
        command.workers().forEach(action);
        return completed();
    }

    private static Optional<Future<Void>> whenAllComplete(FaultCommand command, Function<String, Future<Void>> action) {
        List<Future<Void>> all = command.workers().stream().map(action).toList();
        return Optional.of(Future.all(all).mapEmpty());
    }

    private static Optional<Future<Void>> completed() {
        return Optional.of(Future.succeededFuture());
    }
}
