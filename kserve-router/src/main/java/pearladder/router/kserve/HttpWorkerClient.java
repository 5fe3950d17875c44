package pearladder.router.kserve;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import pearladder.kserve.Headers;
import pearladder.kserve.JsonBodies;
import pearladder.router.core.ActiveAttempt;
import pearladder.router.core.Timers;
import pearladder.router.core.WorkerClient;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * Sends legs, orders and probes to engines over HTTP and tells how each ended, once. Unreachable is said only when no byte
 * left; from the first byte on a failure may have run.
 */
final class HttpWorkerClient implements WorkerClient {
    /** What is written once a connection is there. */
    private interface Writing {
        void write(HttpClientRequest request);
    }

    /** One request's life: it ends once, by its answer, its failure, its limit or because nobody waits any more. */
    private final class Flight implements PendingSend {
        private final WorkerConnectionPool link;
        private final AttemptListener ended;
        private final long timer;
        private HttpClientRequest request;
        private boolean over;

        Flight(WorkerConnectionPool link, TimeSpan limit, AttemptListener ended) {
            this.link = link;
            this.ended = ended;
            this.timer = vertx.setTimer(
                    Timers.millis(limit), fired -> end(written() ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, null));
        }

        private boolean written() {
            return request != null;
        }

        Flight go(HttpMethod method, String uri, Writing writing) {
            link.request(method, uri)
                    .onComplete(
                            connected -> {
                                if (over) {
                                    connected.reset();
                                } else {
                                    request = connected;
                                    writing.write(connected.putHeader(Headers.ROUTER, router));
                                }
                            },
                            unreached -> end(Outcome.UNREACHABLE, null));
            return this;
        }

        void send(Buffer body) {
            request.send(body)
                    .onComplete(
                            response -> WorkerConnectionPool.read(
                                    response,
                                    answerLimit,
                                    (head, whole) -> {
                                        HttpWorkerResponse answer =
                                                HttpWorkerResponse.of(head.statusCode(), head.headers(), whole);
                                        end(answer.outcome(), answer);
                                    },
                                    broken -> end(Outcome.BROKEN, null)),
                            broken -> end(Outcome.BROKEN, null));
        }

        /** The first end counts; whatever comes after it is passed over. */
        private void end(Outcome outcome, HttpWorkerResponse answer) {
            if (over) {
                return;
            }
            over = true;
            vertx.cancelTimer(timer);
            if (answer == null && request != null) {
                request.reset();
            }
            link.ended();
            ended.end(outcome, answer);
        }

        /** One of which nothing left was never sent. */
        @Override
        public void cancel() {
            end(written() ? Outcome.WITHDRAWN : Outcome.VOID, null);
        }

        @Override
        public void takeBack() {
            if (!written()) {
                end(Outcome.VOID, null);
            }
        }
    }

    private final Vertx vertx;
    private final String router;
    private final long answerLimit;
    private final WorkerRegistry roster;
    private final Runnable watch;

    /** @param watch watches the list of engines */
    HttpWorkerClient(Vertx vertx, String router, long answerLimit, WorkerRegistry roster, Runnable watch) {
        this.vertx = vertx;
        this.router = router;
        this.answerLimit = answerLimit;
        this.roster = roster;
        this.watch = watch;
    }

    @Override
    public PendingSend send(ActiveAttempt leg, TimeSpan limit, AttemptListener ended) {
        WorkerConnectionPool link = roster.link(leg.worker);
        if (link == null) {
            ended.end(Outcome.VOID, null);
            return PendingSend.NONE;
        }
        HttpResponseHandler call = (HttpResponseHandler) leg.request.responseHandler;
        Flight flight = new Flight(link, limit, (outcome, said) -> {
            HttpWorkerResponse answer = (HttpWorkerResponse) said;
            if (answer != null && !call.isOf(answer)) {
                // guards against an engine that answers for another model: its answer is nobody's
                HttpWorkerResponse wrong =
                        new HttpWorkerResponse(Outcome.ERROR, answer.status(), answer.headers(), answer.body());
                ended.end(Outcome.ERROR, wrong);
            } else {
                ended.end(outcome, answer);
            }
        });
        return flight.go(HttpMethod.POST, call.path(), request -> {
            request.putHeader("content-type", call.contentType)
                    .putHeader(Headers.CALL, leg.request.clientRequestId)
                    .putHeader(Headers.LEG, Integer.toString(leg.number));
            if (leg.request.idempotencyKey != null) {
                request.putHeader(Headers.MARK, leg.request.idempotencyKey);
            }
            flight.send(call.body);
        });
    }

    @Override
    public void loadInstances(String engine, String function, int copies, TimeSpan limit, LoadListener ended) {
        boolean asks = copies == 0;
        ask(
                engine,
                HttpMethod.POST,
                asks ? "/v2/repository/index" : "/v2/repository/models/" + function + "/load",
                Buffer.buffer(asks ? "{}" : JsonBodies.load(copies)),
                limit,
                (outcome, said) -> {
                    HttpWorkerResponse answer = (HttpWorkerResponse) said;
                    if (answer == null) {
                        ended.end(outcome, 0);
                    } else if (asks) {
                        ended.end(outcome, standing(answer.body(), function));
                    } else {
                        String stand = answer.headers().get(Headers.COPIES);
                        ended.end(
                                answer.status() == 503 ? Outcome.FULL : outcome,
                                stand != null && stand.matches("[0-9]{1,6}")
                                        ? Integer.parseInt(stand)
                                        : outcome == Outcome.SUCCESS ? copies : 0);
                    }
                });
    }

    private static int standing(Buffer body, String function) {
        try {
            return (int) JsonBodies.indexed(body.toString()).stream()
                    .filter(model ->
                            model.name().equals(function) && model.state().equals("READY"))
                    .count();
        } catch (java.io.IOException unreadable) {
            return 0;
        }
    }

    @Override
    public void unloadInstances(String engine, String function, TimeSpan limit) {
        ask(
                engine,
                HttpMethod.POST,
                "/v2/repository/models/" + function + "/unload",
                Buffer.buffer("{}"),
                limit,
                (outcome, said) -> {});
    }

    @Override
    public void checkHealth(String engine, TimeSpan limit, AttemptListener ended) {
        ask(engine, HttpMethod.GET, "/v2/health/live", Buffer.buffer(), limit, ended);
    }

    private void ask(String engine, HttpMethod method, String uri, Buffer body, TimeSpan limit, AttemptListener ended) {
        WorkerConnectionPool link = roster.link(engine);
        if (link == null) {
            ended.end(Outcome.UNREACHABLE, null);
            return;
        }
        Flight flight = new Flight(link, limit, ended);
        flight.go(method, uri, request -> {
            request.putHeader("content-type", "application/json");
            flight.send(body);
        });
    }

    @Override
    public void closeIdleConnections(String engine) {
        WorkerConnectionPool link = roster.link(engine);
        if (link != null) {
            link.closeIdle();
        }
    }

    @Override
    public void watchEndpoints() {
        watch.run();
    }
}
