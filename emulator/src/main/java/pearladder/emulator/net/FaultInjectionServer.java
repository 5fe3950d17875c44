package pearladder.emulator.net;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import pearladder.kserve.JsonBodies;

/**
 * A loopback port by which a day brings trouble on the stand-ins: POST /do?what=slow&amp;engines=e-1,e-2&amp;figure=5. What it
 * can do is listed in {@link #act}; a span is a figure in milliseconds.
 */
public final class FaultInjectionServer {
    private final Fleet fleet;

    private FaultInjectionServer(Fleet fleet) {
        this.fleet = fleet;
    }

    /** Listens on a port given by the system, which it returns. */
    public static int start(Vertx vertx, Fleet fleet) {
        FaultInjectionServer control = new FaultInjectionServer(fleet);
        return fleet.call(() -> vertx.createHttpServer(
                        new HttpServerOptions().setHost("127.0.0.1").setPort(0))
                .requestHandler(control::take)
                .listen()
                .map(HttpServer::actualPort));
    }

    private void take(HttpServerRequest request) {
        if (request.path().equals("/engines")) {
            StringBuilder lines = new StringBuilder();
            for (String id : fleet.ids()) {
                lines.append(id)
                        .append(' ')
                        .append(fleet.hall(id))
                        .append(' ')
                        .append(
                                fleet.engine(id).engine().isUp()
                                                && !fleet.engine(id).engine().isDraining()
                                        ? "up"
                                        : "down")
                        .append(' ')
                        .append(fleet.engine(id).engine().heldRequests())
                        .append('\n');
            }
            request.response().end(lines.toString());
            return;
        }
        String what = request.getParam("what");
        String engines = request.getParam("engines");
        String model = request.getParam("model");
        double figure = request.getParam("figure") == null ? 0 : Double.parseDouble(request.getParam("figure"));
        List<String> named = engines == null || engines.isEmpty()
                ? fleet.ids()
                : Arrays.stream(engines.split(","))
                        .filter(fleet.ids()::contains)
                        .toList();
        String router = request.getParam("router") == null ? "" : request.getParam("router");
        Future<Void> done = what == null
                ? null
                : what.startsWith("cable-")
                        ? cable(what, router, named, figure)
                        : act(what, named, model == null ? "*" : model, figure);
        if (done == null) {
            request.response().setStatusCode(400).end(JsonBodies.error("unknown deed " + what));
        } else {
            done.onComplete(end -> request.response()
                    .setStatusCode(end.succeeded() ? 200 : 500)
                    .end(
                            end.succeeded()
                                    ? "{}"
                                    : JsonBodies.error(
                                            String.valueOf(end.cause().getMessage()))));
        }
    }

    /** Null where there is no such deed. */
    private Future<Void> act(String what, List<String> engines, String model, double figure) {
        long nanos = Math.round(figure * 1e6);
        switch (what) {
            case "slow" -> each(engines, server -> server.engine().setSlowdown(figure));
            case "failing" -> each(engines, server -> server.engine().setFailureShare(figure));
            case "hang" -> each(engines, server -> server.hang(figure > 0));
            case "misname" -> each(engines, server -> server.misname(figure > 0));
            case "garble" -> each(engines, server -> server.garble(figure > 0));
            case "late-reports" -> each(engines, server -> server.engine().setReportDelay(nanos));
            case "release" -> each(
                    engines, server -> Arrays.stream(model.split(",")).forEach(server.engine()::invalidateModels));
            case "drain" -> engines.forEach(fleet::drain);
            case "kill" -> {
                return all(engines, fleet::kill);
            }
            case "restart" -> {
                return all(engines, fleet::restart);
            }
            case "replace" -> engines.forEach(id -> fleet.replace(id, nanos));
            case "losing" -> each(engines, server -> server.engine().setLostLoadReplyShare(figure));
            case "leak" -> each(engines, server -> server.engine().setMemoryLeak(figure));
            case "shelf-damage" -> fleet.shelf().setServingDamagedImages(figure > 0);
            case "list-split" -> fleet.roll()
                    .setSplitView(
                            figure > 0 ? Set.of(model.split(",")) : Set.of(),
                            figure > 0 ? Set.copyOf(engines) : Set.of());
            case "shelf-slow" -> fleet.shelf().setSlowdown(figure);
            case "shelf-refuse" -> fleet.shelf().setRejectingAll(figure > 0);
            case "list-silent" -> fleet.roll().silent(figure > 0);
            case "list-cut" -> fleet.list().cut();
            case "list-lag" -> fleet.roll().setLag(nanos);
            default -> {
                return null;
            }
        }
        return Future.succeededFuture();
    }

    /** Null where there is no such deed, or no cables. */
    private Future<Void> cable(String what, String router, List<String> engines, double figure) {
        FaultProxy cables = fleet.cables();
        if (cables == null) {
            return null;
        }
        switch (what) {
            case "cable-cut" -> engines.forEach(id -> cables.cut(router, id, figure > 0));
            case "cable-deaf" -> engines.forEach(id -> cables.deaf(id, figure > 0));
            case "cable-reset" -> engines.forEach(id -> cables.reset(router, id));
            default -> {
                return null;
            }
        }
        return Future.succeededFuture();
    }

    private void each(List<String> engines, Consumer<WorkerServer> what) {
        engines.forEach(id -> what.accept(fleet.engine(id)));
    }

    private static Future<Void> all(List<String> engines, java.util.function.Function<String, Future<Void>> what) {
        List<Future<Void>> all = new ArrayList<>();
        engines.forEach(id -> all.add(what.apply(id)));
        return Future.all(all).mapEmpty();
    }
}
