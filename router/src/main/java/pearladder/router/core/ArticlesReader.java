package pearladder.router.core;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import pearladder.api.Facts;
import pearladder.api.Facts.Account;
import pearladder.api.Facts.Allowances;
import pearladder.api.Facts.Answering;
import pearladder.api.Facts.ColdStart;
import pearladder.api.Facts.Copies;
import pearladder.api.Facts.Effect;
import pearladder.api.Facts.Group;
import pearladder.api.Facts.Prices;
import pearladder.api.Facts.Ration;
import pearladder.api.Facts.Reports;
import pearladder.api.Facts.Roll;
import pearladder.api.Facts.Terms;
import pearladder.api.Span;
import pearladder.records.Keeping;
import pearladder.yaml.Value;
import pearladder.yaml.Yaml;

/** Reads a router's file, checks all of it and names every mistake. docs/operating.md lists the keys. */
public final class ArticlesReader {
    private ArticlesReader() {}

    /** Reads a file; throws {@link pearladder.yaml.Mistakes.Found} with every mistake in it. */
    public static Articles read(Path file) {
        return read(Yaml.read(file));
    }

    /** The same of what was read already. */
    public static Articles read(Value file) {
        Value router = file.at("router");
        Value list = file.at("list");
        Value limits = file.at("limits");
        Value connections = file.at("connections");
        String name = router.at("name").text();
        if (!name.matches("[A-Za-z0-9._-]{1,64}")) {
            router.at("name").wrong("a name has 1 to 64 letters, digits, dots, hyphens or underscores", "change it");
        }
        String[] listen = address(router.at("listen"), true);
        String[] at = address(list.at("address"), false);
        String[] admin = router.at("admin").given() ? address(router.at("admin"), true) : null;
        Span dial = span(connections.at("dial"), "250 ms");
        Facts facts = facts(file, router, dial);
        List<Articles.ModelTerms> models = file.at("models").each(model -> model(model, facts));
        if (models.isEmpty()) {
            file.at("models").wrong("no model is named", "write \"- {name: \\\"*\\\", memory: 400 MB, lanes: 2}\"");
        }
        Articles articles = new Articles(
                name,
                listen[0],
                Integer.parseInt(listen[1]),
                Path.of(router.at("data").text("data/" + name)),
                admin == null ? null : new Articles.Address(admin[0], Integer.parseInt(admin[1])),
                file.at("releases").at("learn_from").each(other -> {
                    String[] door = address(other, false);
                    return new Articles.Address(door[0], Integer.parseInt(door[1]));
                }),
                new Articles.ListService(at[0], Integer.parseInt(at[1]), span(list.at("silence"), "3 s")),
                facts,
                models,
                new Articles.Limits(
                        limits.at("payload").bytes("16 MB"),
                        limits.at("answer").bytes("64 MB"),
                        limits.at("open_calls").whole(20_000, 1, 10_000_000),
                        span(limits.at("body_within"), "10 s"),
                        span(limits.at("idle"), "120 s")),
                new Articles.Connections(
                        connections.at("per_engine").whole(256, 1, 65_535), dial, span(connections.at("idle"), "30 s")),
                span(router.at("stop_within"), "10 s"),
                keeping(file.at("records")));
        for (Terms category : facts.categories()) {
            if (!articles.limits().idle().longerThan(category.abandon())) {
                limits.at("idle")
                        .wrong(
                                "a client's idle time is no longer than the abandon time of " + category.name(),
                                "make it longer, or waiting clients are cut off");
            }
        }
        file.done();
        return articles;
    }

    /** Kept where the section stands there. */
    private static Keeping keeping(Value records) {
        if (!records.given()) {
            return null;
        }
        Keeping keeping = new Keeping(
                records.at("file").bytes("64 MB"),
                span(records.at("file_age"), "86400 s").inMillis(),
                records.at("all").bytes("2 GB"),
                span(records.at("kept"), "8640000 s").inMillis(),
                span(records.at("details"), "604800 s").inMillis());
        if (keeping.allBytes() < 2 * keeping.segmentBytes()) {
            records.at("all")
                    .wrong("all records are less than two files of them", "make it larger, or \"file\" smaller");
        }
        return keeping;
    }

    private static String[] address(Value value, boolean anyPort) {
        String text = value.text();
        int colon = text.lastIndexOf(':');
        String port = colon < 0 ? "" : text.substring(colon + 1);
        if (colon < 1
                || !port.matches("[0-9]{1,5}")
                || Integer.parseInt(port) > 65_535
                || !anyPort && port.equals("0")) {
            value.wrong(
                    "an address with its port was expected, not \"" + text + "\"",
                    "write for example \"127.0.0.1:8080\"");
            return new String[] {"127.0.0.1", "0"};
        }
        return new String[] {text.substring(0, colon), port};
    }

    private static Span span(Value value, String otherwise) {
        return new Span(value.span(otherwise));
    }

    private static Facts facts(Value file, Value router, Span dial) {
        Value rules = file.at("rules");
        Value cold = rules.at("cold");
        Value ration = rules.at("ration");
        Value allowances = file.at("allowances");
        Value copies = file.at("copies");
        Value prices = file.at("prices");
        List<Terms> categories = new ArrayList<>(
                file.at("categories").eachKey(ArticlesReader::terms).values());
        if (categories.isEmpty()) {
            file.at("categories")
                    .wrong("no category is named", "write one with its expected and abandon time and its effect");
        }
        List<Account> accounts = new ArrayList<>(file.at("accounts")
                .eachKey((key, account) -> new Account(
                        key,
                        account.at("share").number(0, 1),
                        account.at("per_second").number(0, 0, 1e9)))
                .values());
        double shares = accounts.stream().mapToDouble(Account::share).sum();
        if (shares > 1.0001) {
            file.at("accounts").wrong(String.format("the shares add up to %.2f", shares), "make it 1 at the most");
        }
        List<Double> memory = copies.at("engine_memory").each(kind -> kind.bytes() / 1e6);
        return new Facts(
                router.at("number").whole(0, 0, 1_000_000),
                router.at("peers").whole(1, 1, 1_000_000),
                router.at("hall").text(""),
                span(router.at("tick"), "5 ms"),
                categories,
                accounts,
                new Allowances(
                        allowances.at("legs").whole(3, 1, 100),
                        allowances.at("second_legs").flag(false),
                        allowances.at("cancel").flag(true),
                        allowances.at("probes").flag(false),
                        false,
                        allowances.at("retry_after").flag(true),
                        span(allowances.at("longest_retry_after"), "2 s"),
                        allowances.at("over_share_credit").number(1, 0, 1),
                        allowances.at("credit_by_work").flag(false),
                        dial),
                new Answering(span(rules.at("answer_grace"), "15 ms"), span(rules.at("drain_grace"), "1 s")),
                new ColdStart(
                        cold.at("start_share").number(0.25, 0.001, 1),
                        span(cold.at("warm_after"), "15 s"),
                        cold.at("fall_multiple").number(2, 0.1, 1000),
                        span(cold.at("fall_after"), "1500 ms")),
                new Ration(
                        ration.at("free").number(0, 0, 1e6),
                        ration.at("share").number(0, 0, 100),
                        span(ration.at("window"), "0 s")),
                new Copies(
                        span(copies.at("kept"), "10 s"),
                        copies.at("orders").flag(false),
                        copies.at("loads_on_miss").flag(true),
                        span(copies.at("order_timeout"), "10 s"),
                        copies.at("tells_warm").flag(true),
                        copies.at("tells_crowd").flag(true),
                        memory),
                new Reports(List.of("held", "waiting", "busy", "loads", "pinned"), true),
                new Roll(false, Span.NONE),
                new Prices(
                        prices.at("crossing").number(0, 0, 1),
                        prices.at("waste").number(0, 0, 1),
                        prices.at("probe").number(0, 0, 1),
                        prices.at("fetch").number(0, 0, 1),
                        prices.at("late_failure").number(0, 0, 1),
                        prices.at("idle_memory").number(0, 0, 1)));
    }

    private static Terms terms(String name, Value terms) {
        Span expected = span(terms.at("expected"), null);
        Span abandon = span(terms.at("abandon"), null);
        Effect effect = terms.at("effect").word(Effect.class, null);
        Span remembered = span(terms.at("remembered"), "0 s");
        if (abandon.nanos() > 0 && expected.longerThan(abandon)) {
            terms.at("expected").wrong("the expected time is longer than the abandon time", "make it shorter");
        }
        if (effect == Effect.FINGERPRINTED && remembered.nanos() == 0) {
            terms.at("remembered")
                    .wrong(
                            "a fingerprinted category says for how long repeats are dropped",
                            "write for example \"remembered: 8 s\"");
        }
        return new Terms(
                name,
                expected,
                abandon,
                terms.at("credit").number(1, 0, 1e9),
                terms.at("late_credit").number(0, 0, 1),
                effect,
                terms.at("group").word(Group.class, Group.ALL),
                remembered,
                false,
                terms.at("expected_stretch").number(0, 0, 1000));
    }

    private static Articles.ModelTerms model(Value model, Facts facts) {
        String category = model.at("category").text(null);
        if (category != null
                && facts.categories().stream().noneMatch(c -> c.name().equals(category))) {
            model.at("category")
                    .wrong(
                            "unknown category \"" + category + "\"",
                            "write one of "
                                    + String.join(
                                            ", ",
                                            facts.categories().stream()
                                                    .map(Terms::name)
                                                    .toList()));
        }
        Value load = model.at("usual_load");
        return new Articles.ModelTerms(
                model.at("name").text(),
                model.at("lanes").whole(1, 1, 100_000),
                model.at("memory").bytes() / 1e6,
                load.given() ? new Span(load.span()) : null,
                category);
    }
}
