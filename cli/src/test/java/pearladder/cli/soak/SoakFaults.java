package pearladder.cli.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** Injects faults chosen at random, which may overlap. */
final class SoakFaults {
    /** Shorter than the answer grace period, as a router that is paused for longer can't answer in time. */
    private static final int MAX_PAUSE_MILLIS = 300;

    private static final int MIN_PAUSE_MILLIS = 20;
    private static final int MIN_OUTAGE_MILLIS = 2000;
    private static final int MAX_OUTAGE_MILLIS = 20_000;
    private static final int MAX_IDLE_CONNECTIONS_MILLIS = 4000;
    private static final int MAX_RELOADS = 4;
    private static final int RELOAD_PAUSE_MILLIS = 250;
    /** At most one in this many workers changes state at once. */
    private static final int MAX_CHANGED_DIVISOR = 20;

    private static final int FULL_LIST_PERCENT = 15;
    private static final int EVENTS_IN_SUCCESSION = 10;
    private static final int MAX_START_MILLIS = 1500;
    /** Additional time to stop for a process that receives SIGTERM while it starts. */
    private static final long EXTRA_STOP_MILLIS_DURING_START = 6000;

    /** A process that was paused around SIGTERM may miss its kill deadline; more kills are a fault. */
    private static final int MAX_KILLS = 2;

    private static final int STOPS_PER_TOLERATED_KILL = 4;

    private static final int SIGTERM_EXIT_STATUS = 143;

    private final SoakFleet fleet;
    private final SoakInvariants.RouterEnds ends;
    private final Random random;
    private final List<String> failures = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger stops = new AtomicInteger();
    private final AtomicInteger kills = new AtomicInteger();
    private final List<Thread> faultThreads = new ArrayList<>();
    private int replacements;

    SoakFaults(SoakFleet fleet, SoakInvariants.RouterEnds ends, Random random) {
        this.fleet = fleet;
        this.ends = ends;
        this.random = random;
    }

    /** Returns the violations by routers that received SIGTERM. */
    List<String> failures() {
        if (kills.get() > MAX_KILLS && kills.get() * STOPS_PER_TOLERATED_KILL > stops.get()) {
            failures.add(kills + " of " + stops + " stops exceeded the kill deadline");
        }
        return failures;
    }

    /** Waits for all running faults to end. */
    void await() throws InterruptedException {
        for (Thread thread : faultThreads) {
            thread.join();
        }
    }

    void injectOne() throws IOException {
        SoakRouter router = fleet.routers.get(random.nextInt(fleet.routers.size()));
        int fault = random.nextInt(100);
        if (fault < 34) {
            FloodClient.start(router, random);
        } else if (fault < 50) {
            pauseRouter(router);
        } else if (fault < 66) {
            changeStates();
        } else if (fault < 76) {
            startOutage();
        } else if (fault < 82) {
            SoakCrowd.start(router, random.nextInt(MAX_IDLE_CONNECTIONS_MILLIS));
        } else if (router.isInService()) {
            signal(router, fault);
        }
    }

    private void signal(SoakRouter router, int fault) {
        if (fault < 90) {
            reload(router, 1 + random.nextInt(MAX_RELOADS));
        } else if (fault < 95) {
            restart(router, random.nextBoolean(), random.nextBoolean());
        } else if (fault < 98) {
            stopWhileStarting(router, random.nextInt(MAX_START_MILLIS));
        } else {
            kill(router);
        }
    }

    private void startFault(Background.Task task) {
        faultThreads.add(Background.run(task));
    }

    private void pauseRouter(SoakRouter router) {
        int millis = MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS);
        if (router.isInService()) {
            startFault(() -> pause(router, millis));
        }
    }

    private void pause(SoakRouter router, long millis) throws IOException, InterruptedException {
        long from = System.nanoTime();
        router.pause(millis);
        ends.onPaused(router.name, from, System.nanoTime());
    }

    private void startOutage() throws IOException {
        SoakDiscovery.Outage[] kinds = SoakDiscovery.Outage.values();
        SoakDiscovery.Outage kind = kinds[random.nextInt(kinds.length)];
        fleet.discovery.startOutage(kind, MIN_OUTAGE_MILLIS + random.nextInt(MAX_OUTAGE_MILLIS - MIN_OUTAGE_MILLIS));
    }

    /** Changes the state of some workers; discovery publishes one event, ten in quick succession, or the full list. */
    private void changeStates() {
        int count = Math.max(1, random.nextInt(Math.max(1, fleet.workers.size() / MAX_CHANGED_DIVISOR)));
        List<String> changes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            changeState(fleet.workers.get(random.nextInt(fleet.workers.size())), changes);
        }
        if (changes.isEmpty()) {
            return;
        }
        if (random.nextInt(100) < FULL_LIST_PERCENT) {
            fleet.discovery.publishAll(fleet.members());
            return;
        }
        int changesPerEvent = random.nextBoolean() ? changes.size() : changes.size() / EVENTS_IN_SUCCESSION + 1;
        for (int from = 0; from < changes.size(); from += changesPerEvent) {
            fleet.discovery.publish(
                    String.join(",", changes.subList(from, Math.min(changes.size(), from + changesPerEvent))));
        }
    }

    /** Drains a worker, or replaces a draining one by a new process, with the same id or a new one. */
    private void changeState(SoakWorker worker, List<String> changes) {
        if (worker.drainingSince == 0) {
            if (fleet.drainable() > 0) {
                worker.drain();
                changes.add(worker.member("terminating"));
            }
            return;
        }
        String old = worker.name;
        if (random.nextBoolean()) {
            worker.restart(old);
        } else {
            changes.add(worker.member("terminated"));
            worker.restart(old.replaceAll("r[0-9]+$", "") + "r" + ++replacements);
        }
        changes.add(worker.member("in_service"));
    }

    private void reload(SoakRouter router, int times) {
        boolean fullList = random.nextBoolean();
        startFault(() -> {
            for (int i = 0; i < times && router.isReloadable(); i++) {
                router.reload(
                        fullList
                                ? fleet.configuration(router, fleet.discovery.knownAsFullList(fleet.members()))
                                : fleet.configuration(router));
                Thread.sleep(RELOAD_PAUSE_MILLIS);
            }
        });
    }

    private void restart(SoakRouter router, boolean reloadFirst, boolean signalTwice) {
        ends.onTerminated(router.name, router.incarnation());
        boolean pauses = random.nextBoolean();
        boolean reloads = reloadFirst && router.isReloadable();
        router.onStopBegins();
        startFault(() -> {
            if (reloads) {
                router.signal("HUP");
            }
            if (pauses) {
                pause(router, MIN_PAUSE_MILLIS);
            }
            terminate(router, signalTwice, 0);
            startAfterStop(router);
        });
    }

    private void terminate(SoakRouter router, boolean signalTwice, long startMillis)
            throws IOException, InterruptedException {
        Integer status = router.terminate(fleet.settings.killAfterMillis() + startMillis, signalTwice);
        stops.incrementAndGet();
        if (status == null) {
            // the platform kills the process too; requests that are still unanswered count as lost
            kills.incrementAndGet();
            router.kill();
        } else if (status != 0 && !endedBeforeFirstRequest(router, status)) {
            failures.add(router.name + " ended with " + status + " after SIGTERM");
        }
    }

    /** Kills the process, starts it again, and sends SIGTERM while it starts. */
    private void stopWhileStarting(SoakRouter router, int afterMillis) {
        ends.onKilled(router.name, router.incarnation());
        router.onStopBegins();
        startFault(() -> {
            router.kill();
            router.start(fleet.configuration(router));
            ends.onTerminated(router.name, router.incarnation());
            Thread.sleep(afterMillis);
            terminate(router, false, EXTRA_STOP_MILLIS_DURING_START);
            startAfterStop(router);
        });
    }

    private void kill(SoakRouter router) {
        ends.onKilled(router.name, router.incarnation());
        router.onStopBegins();
        startFault(() -> {
            router.kill();
            startAfterStop(router);
        });
    }

    private void startAfterStop(SoakRouter router) throws IOException {
        router.start(fleet.configuration(router));
        router.onStopEnded();
    }

    /** Returns whether SIGTERM ended the process before it handled signals, with no request to answer. */
    private boolean endedBeforeFirstRequest(SoakRouter router, int status) {
        return status == SIGTERM_EXIT_STATUS
                && fleet.requests.values().stream()
                        .noneMatch(request -> request.router.equals(router.name)
                                && request.routerIncarnation == router.incarnation());
    }
}
