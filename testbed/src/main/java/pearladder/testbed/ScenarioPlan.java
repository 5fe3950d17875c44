package pearladder.testbed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pearladder.config.ConfigValue;
import pearladder.config.YamlParser;
import pearladder.emulator.FleetPlan;

/**
 * One day as its script states it; spans in nanoseconds.
 *
 * @param halls in the order of the routers: router i stands in hall i modulo their number
 * @param slack how late an answer or a send may be seen before it counts: for sockets and pauses of the machine
 */
public record ScenarioPlan(
        String name,
        long lasting,
        long seed,
        long slack,
        List<String> halls,
        int routers,
        double rate,
        Clients clients,
        List<Flow> flows,
        List<Trouble> troubles,
        List<ReleaseScript.Order> releases,
        InvariantSettings rules,
        FleetPlan fleet,
        Network network,
        Expected expected,
        Tide tide) {
    /**
     * How clients behave.
     *
     * @param tries of a call at the most
     * @param pause before a try again, where no time to come back was told
     * @param patience the least share of the abandon time that a try is given; each draws one from there to 1
     * @param frontLag the front layer goes on feeding a dead router for so long
     * @param leaving share of tries whose client leaves early, somewhere in its patience
     * @param lanes event loops that send them; one bears about a thousand calls a second
     */
    public record Clients(int tries, long pause, double patience, long frontLag, double leaving, int lanes) {}

    /**
     * One flow of calls.
     *
     * @param share of all calls
     * @param models names are prefix plus a number from 0 on
     * @param skew of the models' popularity, 0 for none (Zipf's exponent)
     * @param shift so often the popularity moves on by one model; 0 for never
     * @param work mean work of a call
     */
    public record Flow(
            String category,
            String account,
            double share,
            String prefix,
            int models,
            double skew,
            long shift,
            long work) {}

    /** What kinds of trouble a day may bring. docs/days.md says what each does. */
    public enum Kind {
        BURST,
        ONE_OFFS,
        HEAVY,
        ROLLING_DEPLOY,
        RELEASE,
        HALL_LOST,
        ROUTERS_KILLED,
        ENGINES_KILLED,
        FAILING,
        SLOW,
        AGEING,
        HANG,
        GARBLE,
        MASS_RESTART,
        LATE_REPORTS,
        SLOW_SHELF,
        REFUSING_SHELF,
        SLOW_HANDSHAKES,
        CUT,
        RESET,
        LIST_SILENT,
        LIST_CUT,
        LIST_LAG,
        LOST_LOADS,
        LEAK,
        DAMAGED_IMAGES,
        SPLIT_LIST,
        HEEDLESS,
        WRONG_MODEL,
        ENGINES_PAUSED,
        ONE_WAY_CUT,
        ROUTERS_PAUSED,
        CLOCK_JUMP;

        /** Whether only a rehearsal can bring it: processes and sockets of one machine have no means for it. */
        public boolean rehearsedOnly() {
            return compareTo(ENGINES_PAUSED) >= 0;
        }
    }

    /**
     * What a rehearsal assumes of the world that sockets bring by themselves.
     *
     * @param delay of a message one way
     * @param routerStart from a router's start until it is ready
     */
    public record Network(long delay, long routerStart) {}

    /**
     * How the rate goes up and down as over a day and a night.
     *
     * @param period from one peak to the next, 0 for a rate that stays
     * @param swing how far it goes from the mean, 0 to 1
     */
    public record Tide(long period, double swing) {
        double at(long nanos) {
            return period == 0 ? 1 : 1 + swing * Math.sin(2 * Math.PI * nanos / period);
        }
    }

    /**
     * What must hold at the day's end; NaN where nothing is asked.
     *
     * @param credit the least share of it
     * @param worst the least share in any ten seconds
     */
    public record Expected(double credit, double worst) {
        /** What did not hold, in words. */
        public List<String> missed(LoadStatistics books) {
            List<String> missed = new ArrayList<>();
            if (books.credit() < credit) {
                missed.add(String.format(
                        java.util.Locale.ROOT,
                        "expected a credit of %.3f at the least, it was %.3f",
                        credit,
                        books.credit()));
            }
            if (books.worstWindow() < worst) {
                missed.add(String.format(
                        java.util.Locale.ROOT,
                        "expected %.3f in each ten seconds, the worst was %.3f",
                        worst,
                        books.worstWindow()));
            }
            return missed;
        }
    }

    /**
     * One trouble.
     *
     * @param share of the engines (or routers, models, calls) that it meets
     * @param times how many times slower, heavier or more
     * @param part chance with which a call meets it there
     * @param hall only there; empty for all
     */
    public record Trouble(long at, long lasting, Kind what, double share, double times, double part, String hall) {}

    /** Reads a script; throws {@link pearladder.config.ConfigErrors.Found} with every mistake in it. */
    public static ScenarioPlan read(Path file) {
        return read(YamlParser.read(file));
    }

    /** The same of what was read already. */
    public static ScenarioPlan read(ConfigValue file) {
        ConfigValue day = file.at("day");
        ConfigValue clients = file.at("clients");
        InvariantSettings rules = InvariantSettings.read(file.at("router"));
        long lasting = day.at("lasting").span();
        List<String> halls = day.at("halls").each(ConfigValue::text);
        if (halls.isEmpty()) {
            day.at("halls").wrong("no hall is named", "write \"halls: [east, west]\"");
        }
        List<Flow> flows = file.at("traffic").each(flow -> flow(flow, rules));
        if (flows.isEmpty()) {
            file.at("traffic")
                    .wrong("no traffic", "write \"- {category: ..., models: pair-, count: 20, work: 20 ms}\"");
        }
        List<Trouble> troubles = new ArrayList<>(file.at("troubles").each(value -> trouble(value, lasting, halls)));
        troubles.sort((a, b) -> Long.compare(a.at(), b.at()));
        FleetPlan fleet = FleetPlan.read(file.at("fleet"));
        boolean needsCables = troubles.stream()
                .anyMatch(t -> t.what() == Kind.CUT || t.what() == Kind.RESET || t.what() == Kind.SLOW_HANDSHAKES);
        if (needsCables && !fleet.cables()) {
            file.at("fleet")
                    .wrong("cuts, resets and slow handshakes need cables", "write \"cables: true\" in the fleet");
        }
        ScenarioPlan plan = new ScenarioPlan(
                day.at("name").text("day"),
                lasting,
                day.at("seed").whole(1, 0, Integer.MAX_VALUE),
                day.at("slack").span("150 ms"),
                halls,
                day.at("routers").whole(2, 1, 1000),
                day.at("rate").number(0.1, 1e6),
                new Clients(
                        clients.at("tries").whole(3, 1, 20),
                        clients.at("pause").span("200 ms"),
                        clients.at("patience").number(0.5, 0.05, 1),
                        clients.at("front_lag").span("2 s"),
                        clients.at("leaving").number(0, 0, 1),
                        clients.at("lanes").whole(1, 1, 16)),
                flows,
                troubles,
                file.at("releases").each(ReleaseScript::read).stream()
                        .flatMap(List::stream)
                        .toList(),
                rules,
                fleet,
                new Network(
                        file.at("network").at("delay").span("600 us"),
                        file.at("network").at("router_start").span("2 s")),
                new Expected(
                        file.at("expect").at("credit").number(Double.NaN, 0, 1),
                        file.at("expect").at("worst_10_s").number(Double.NaN, 0, 1)),
                new Tide(
                        day.at("tide").at("period").span("0 s"),
                        day.at("tide").at("swing").number(0.5, 0, 1)));
        // what the routers' part says beside the rules is checked by the routers themselves
        file.done(java.util.Set.of("day", "clients", "traffic", "troubles", "releases", "fleet", "network", "expect"));
        return plan;
    }

    private static Flow flow(ConfigValue flow, InvariantSettings rules) {
        String category = flow.at("category").text();
        if (!rules.categories().containsKey(category)) {
            flow.at("category")
                    .wrong(
                            "unknown category \"" + category + "\"",
                            "write one of "
                                    + String.join(", ", rules.categories().keySet()));
        }
        return new Flow(
                category,
                flow.at("account").text(""),
                flow.at("share").number(1, 0, 1),
                flow.at("models").text(),
                flow.at("count").whole(1, 1, 1_000_000),
                flow.at("skew").number(1, 0, 5),
                flow.at("shift").span("0 s"),
                flow.at("work").span("20 ms"));
    }

    private static Trouble trouble(ConfigValue trouble, long lasting, List<String> halls) {
        long at = trouble.at("at").span();
        long length = trouble.at("lasting").span("0 s");
        if (at + length > lasting) {
            trouble.at("at").wrong("the trouble ends after the day", "begin it earlier, or make the day longer");
        }
        String hall = trouble.at("hall").text("");
        if (!hall.isEmpty() && !halls.contains(hall)) {
            trouble.at("hall").wrong("unknown hall \"" + hall + "\"", "write one of " + String.join(", ", halls));
        }
        return new Trouble(
                at,
                length,
                trouble.at("what").word(Kind.class, null),
                trouble.at("share").number(0.2, 0, 1),
                trouble.at("times").number(5, 1, 1000),
                trouble.at("part").number(0.7, 0, 1),
                hall);
    }

    /** Hall and cell of each engine, as the checker wants them. */
    public Map<String, String> places() {
        Map<String, String> places = new LinkedHashMap<>();
        fleet.engines().forEach(engine -> places.put(engine.id(), engine.hall() + "/" + engine.cell()));
        return places;
    }
}
