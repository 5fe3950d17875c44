package pearladder.simulation;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import pearladder.emulator.PendingRequest;
import pearladder.emulator.Timeline;
import pearladder.emulator.WorkerModel;
import pearladder.emulator.WorkerOutcome;
import pearladder.emulator.WorkerReply;
import pearladder.emulator.WorkerRequest;
import pearladder.kserve.LoadReport;
import pearladder.router.core.ActiveAttempt;
import pearladder.router.core.WorkerClient;
import pearladder.router.core.WorkerResponse;
import pearladder.routing.api.Event;
import pearladder.routing.api.Outcome;
import pearladder.routing.api.TimeSpan;

/**
 * One router's way to the engines over the virtual network: connections that are kept or made, requests, answers, and the
 * proofs that outcomes give. It mirrors what the real one does with sockets.
 */
final class SimulatedWorkerClient implements WorkerClient {
    private record Said(
            Outcome outcome,
            Event.InstanceStatus instanceStatus,
            int concurrentRequests,
            Event.WorkerLoadReport loadReport)
            implements WorkerResponse {
        static Said of(WorkerReply answer) {
            LoadReport report = answer.report();
            return new Said(
                    switch (answer.outcome()) {
                        case OK -> Outcome.SUCCESS;
                        case ERROR -> Outcome.ERROR;
                        case FULL -> Outcome.FULL;
                        case ABSENT -> Outcome.ABSENT;
                    },
                    answer.instanceState() == null
                            ? Event.InstanceStatus.UNTOLD
                            : Event.InstanceStatus.valueOf(
                                    answer.instanceState().name()),
                    answer.concurrentRequests(),
                    report == null
                            ? null
                            : new Event.WorkerLoadReport(
                                    report.held(), report.waiting(), report.busy(), report.loads(), report.pinned()));
        }
    }

    /** This router's connections to one engine. */
    private static final class Link {
        final SimulatedNetworkPath host;
        private int idle;
        private int generation;

        Link(SimulatedNetworkPath host) {
            this.host = host;
            this.generation = host.generation();
        }

        /** Whether a kept connection is taken. */
        boolean reuse() {
            if (generation != host.generation()) {
                generation = host.generation();
                idle = 0;
            }
            return idle > 0 && idle-- > 0;
        }
    }

    /** What a request does once it has reached its engine. */
    private interface Work {
        PendingRequest begin(Consumer<WorkerReply> reply);
    }

    private interface Ended {
        void end(Outcome outcome, WorkerReply answer);
    }

    /** One request's life. */
    private final class Flight implements PendingSend, SimulatedNetworkPath.Exchange {
        private final Link link;
        private final Work work;
        private final Ended ended;
        private final Timeline.Planned limit;
        private PendingRequest held;
        private boolean written;
        private boolean over;

        Flight(Link link, TimeSpan limit, Work work, Ended ended) {
            this.link = link;
            this.work = work;
            this.ended = ended;
            this.limit = life.after(
                    Math.max(1_000_000, limit.nanos()),
                    () -> end(written ? Outcome.TIMED_OUT : Outcome.UNREACHABLE, null));
            out.add(this);
            connect();
        }

        private void connect() {
            SimulatedNetworkPath host = link.host;
            if (link.reuse()) {
                write();
            } else if (!host.answersConnects()) {
                life.after(dial, () -> end(Outcome.UNREACHABLE, null));
            } else if (!host.worker.isUp()) {
                life.after(2 * delay, () -> end(Outcome.UNREACHABLE, null));
            } else {
                life.after(2 * delay, () -> {
                    if (over) {
                        link.idle++;
                    } else {
                        write();
                    }
                });
            }
        }

        private void write() {
            written = true;
            link.host.register(this);
            link.host.sendToWorker(() -> {
                if (over) {
                    // given up while the way was cut: its connection was reset, and what had not left is dropped
                    return;
                }
                if (!link.host.worker.isUp()) {
                    onReset();
                } else if (!link.host.isHanging()) {
                    held = work.begin(answer -> link.host.sendToRouter(() -> life.run(() -> answered(answer))));
                    if (held == null && !link.host.worker.isUp()) {
                        fell.accept(link.host.worker.id());
                    }
                }
            });
        }

        private void answered(WorkerReply answer) {
            if (over) {
                return;
            }
            if (link.host.isTruncatingResponses()) {
                end(Outcome.BROKEN, null);
            } else {
                link.idle++;
                end(Said.of(answer).outcome(), answer);
            }
        }

        @Override
        public void onReset() {
            link.idle = 0;
            life.run(() -> end(Outcome.BROKEN, null));
        }

        private void end(Outcome outcome, WorkerReply answer) {
            if (over) {
                return;
            }
            over = true;
            out.remove(this);
            limit.callOff();
            link.host.unregister(this);
            if (answer == null && written) {
                hangUp();
            }
            ended.end(outcome, answer);
        }

        /** The connection goes, and the engine notices. */
        void hangUp() {
            link.host.sendToWorker(() -> {
                if (held != null && link.host.worker.isUp()) {
                    held.cancel();
                }
            });
        }

        @Override
        public void cancel() {
            end(written ? Outcome.WITHDRAWN : Outcome.VOID, null);
        }

        @Override
        public void takeBack() {
            if (!written) {
                end(Outcome.VOID, null);
            }
        }
    }

    private final SimulatedRouter life;
    private final String router;
    private final long delay;
    private final long dial;
    private final Consumer<String> fell;
    private final Map<String, Link> links = new HashMap<>();
    private final Set<Flight> out = new LinkedHashSet<>();

    /** @param fell told of an engine that fell over */
    SimulatedWorkerClient(SimulatedRouter life, String router, long delay, long dial, Consumer<String> fell) {
        this.life = life;
        this.router = router;
        this.delay = delay;
        this.dial = dial;
        this.fell = fell;
    }

    void came(String engine, SimulatedNetworkPath host) {
        Link link = links.get(engine);
        if (link == null || link.host != host) {
            links.put(engine, new Link(host));
        }
    }

    void went(String engine) {
        links.remove(engine);
    }

    /** The router dies: every connection of it goes. */
    void die() {
        for (Flight flight : List.copyOf(out)) {
            if (flight.written) {
                flight.over = true;
                flight.link.host.unregister(flight);
                flight.hangUp();
            }
        }
    }

    @Override
    public PendingSend send(ActiveAttempt leg, TimeSpan limit, AttemptListener ended) {
        Link link = links.get(leg.worker);
        if (link == null) {
            ended.end(Outcome.VOID, null);
            return PendingSend.NONE;
        }
        SimulatedRouter.Carried carried = (SimulatedRouter.Carried) leg.request.responseHandler;
        WorkerRequest asked = new WorkerRequest(
                router,
                leg.request.clientRequestId,
                leg.number,
                leg.request.function,
                leg.request.idempotencyKey == null ? "" : leg.request.idempotencyKey,
                carried.work());
        return new Flight(link, limit, reply -> link.host.worker.submit(asked, reply), (outcome, answer) -> {
            Said said = answer == null ? null : Said.of(answer);
            boolean wrong = outcome == Outcome.SUCCESS && link.host.isMisnamingModels();
            ended.end(
                    wrong ? Outcome.ERROR : outcome,
                    wrong
                            ? new Said(
                                    Outcome.ERROR, said.instanceStatus(), said.concurrentRequests(), said.loadReport())
                            : said);
        });
    }

    @Override
    public void loadInstances(String engine, String function, int copies, TimeSpan limit, LoadListener ended) {
        Link link = links.get(engine);
        if (link == null) {
            ended.end(Outcome.UNREACHABLE, 0);
            return;
        }
        new Flight(
                link,
                limit,
                reply -> {
                    WorkerModel asked = link.host.worker;
                    if (copies == 0) {
                        reply.accept(WorkerReply.ofLoad(WorkerOutcome.OK, asked.standing(function), asked.report()));
                    } else {
                        asked.loadInstances(router, function, copies, reply);
                    }
                    return null;
                },
                (outcome, answer) -> ended.end(outcome, answer == null ? 0 : answer.readyInstances()));
    }

    @Override
    public void unloadInstances(String engine, String function, TimeSpan limit) {
        Link link = links.get(engine);
        if (link != null) {
            new Flight(
                    link,
                    limit,
                    reply -> {
                        link.host.worker.unload(function);
                        reply.accept(WorkerReply.of(WorkerOutcome.OK, link.host.worker.report()));
                        return null;
                    },
                    (outcome, answer) -> {});
        }
    }

    @Override
    public void checkHealth(String engine, TimeSpan limit, AttemptListener ended) {
        Link link = links.get(engine);
        if (link == null) {
            ended.end(Outcome.UNREACHABLE, null);
            return;
        }
        new Flight(
                link,
                limit,
                reply -> {
                    reply.accept(WorkerReply.of(WorkerOutcome.OK, link.host.worker.report()));
                    return null;
                },
                (outcome, answer) -> ended.end(outcome, answer == null ? null : Said.of(answer)));
    }

    @Override
    public void closeIdleConnections(String engine) {
        Link link = links.get(engine);
        if (link != null) {
            link.idle = 0;
        }
    }

    @Override
    public void watchEndpoints() {
        life.watchList();
    }
}
