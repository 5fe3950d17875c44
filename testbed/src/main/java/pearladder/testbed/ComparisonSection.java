package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.style.Styler;

/** The section of a report that compares its runs. */
final class ComparisonSection {
    /** Maximum number of runs, or groups of runs, in a chart; more make it unreadable. */
    private static final int MAX_CHARTED = 12;
    /** Smallest value on a logarithmic axis of latencies. */
    private static final double MIN_LATENCY_MILLIS = 0.1;

    private static final int SECONDS_PER_MINUTE = 60;
    private static final Color BAR_COLOR = new Color(70, 120, 170);

    private final HtmlPage page;
    private final Map<String, JsonNode> runs;

    ComparisonSection(HtmlPage page, Map<String, JsonNode> runs) {
        this.page = page;
        this.runs = runs;
    }

    void append() throws IOException {
        appendOverview();
        if (runs.size() > 1) {
            appendSeedGroups();
            page.chart(latencies());
            appendGrowth();
        }
    }

    private void appendOverview() {
        page.markup("<table><tr><th>run<th>engines<th>routers<th>calls<th>credit<th>worst 10 s<th>p50 ms<th>p99 ms"
                + "<th>dismissed<th>terminated<th>generator late, p99 ms<th>rules</tr>");
        runs.forEach((name, run) -> page.markup(overviewRow(name, run)));
        page.markup("</table>");
    }

    private static String overviewRow(String name, JsonNode run) {
        long broken = run.path("breaches").asLong();
        return String.format(
                Locale.ROOT,
                "<tr><td>%s<td>%d<td>%d<td>%d<td>%.3f<td>%.3f<td>%.1f<td>%.1f<td>%d<td>%d<td>%.1f<td%s</tr>",
                HtmlPage.escaped(name),
                run.path("engines").asLong(),
                run.path("routers").asLong(),
                run.path("calls").asLong(),
                run.path("credit").asDouble(),
                run.path("worst10s").asDouble(),
                run.path("latency_ms").path("50.0").asDouble(),
                run.path("latency_ms").path("99.0").asDouble(),
                run.path("dismissed").asLong(),
                run.path("terminated").asLong(),
                run.path("lag_p99_ms").asDouble(),
                broken == 0 ? ">kept" : " class=broken>broken " + broken + " times");
    }

    /** Appends mean and range of the groups of runs that differ only in their seed ("name.s1", "name.s2"). */
    private void appendSeedGroups() throws IOException {
        Map<String, List<Double>> credits = new TreeMap<>();
        runs.forEach(
                (name, run) -> credits.computeIfAbsent(name.replaceFirst("\\.s[0-9]+$", ""), group -> new ArrayList<>())
                        .add(run.path("credit").asDouble()));
        page.markup("<h2>Compared</h2><table><tr><th>what<th>runs<th>mean credit<th>lowest<th>highest</tr>");
        credits.forEach((name, values) -> page.markup(String.format(
                Locale.ROOT,
                "<tr><td>%s<td>%d<td>%.3f<td>%.3f<td>%.3f</tr>",
                HtmlPage.escaped(name),
                values.size(),
                mean(values),
                values.stream().mapToDouble(value -> value).min().orElse(0),
                values.stream().mapToDouble(value -> value).max().orElse(0))));
        page.markup("</table>");
        if (credits.size() <= MAX_CHARTED) {
            page.chart(meanCredits(credits));
        }
    }

    private static CategoryChart meanCredits(Map<String, List<Double>> credits) {
        CategoryChart chart =
                Charts.bars("Mean credit, with the spread over seeds", "run", "credit earned of credit asked for");
        chart.getStyler().setXAxisLabelRotation(30);
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0).setLegendVisible(false);
        List<String> names = new ArrayList<>(credits.keySet());
        List<Double> means =
                credits.values().stream().map(ComparisonSection::mean).toList();
        List<Double> spreads =
                credits.values().stream().map(ComparisonSection::spread).toList();
        chart.addSeries("credit", names, means, spreads).setFillColor(BAR_COLOR);
        return chart;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(value -> value).average().orElse(0);
    }

    /** Returns the largest distance of a value from the mean. */
    private static double spread(List<Double> values) {
        double mean = mean(values);
        return values.stream()
                .mapToDouble(value -> Math.abs(value - mean))
                .max()
                .orElse(0);
    }

    /** Appends the figures that depend on the fleet size, for simulations of one scenario at several sizes only. */
    private void appendGrowth() throws IOException {
        TreeMap<Integer, JsonNode> bySize = new TreeMap<>();
        runs.values().stream()
                .filter(run -> run.has("growth"))
                .forEach(run -> bySize.put(run.path("engines").asInt(), run));
        if (bySize.size() < 2) {
            return;
        }
        page.markup("<h2>What grows with the fleet</h2><table><tr><th>engines<th>routers<th>credit"
                + "<th>loads for 1000 calls<th>a decision, us<th>decisions, share of a router's core"
                + "<th>list entries a second and router<th>events a second<th>wall, s, for a minute</tr>");
        bySize.forEach((workers, run) -> page.markup(growthRow(workers, run)));
        page.markup("</table>");
        appendCurve(bySize, "/credit", "Credit", "credit earned of credit asked for");
        appendCurve(bySize, "/growth/loads_per_1000", "Loads for each 1000 calls", "loads");
        appendCurve(bySize, "/growth/decided_share", "What decisions take of a router's core", "share");
        appendCurve(bySize, "/growth/told_per_second", "List traffic to each router", "entries a second");
    }

    private static String growthRow(int workers, JsonNode run) {
        JsonNode growth = run.path("growth");
        double wallSeconds = growth.path("wall_s").asDouble();
        return String.format(
                Locale.ROOT,
                "<tr><td>%d<td>%d<td>%.3f<td>%.1f<td>%.1f<td>%.4f<td>%.1f<td>%.0f<td>%.1f</tr>",
                workers,
                run.path("routers").asInt(),
                run.path("credit").asDouble(),
                growth.path("loads_per_1000").asDouble(),
                growth.path("decision_us").asDouble(),
                growth.path("decided_share").asDouble(),
                growth.path("told_per_second").asDouble(),
                growth.path("events").asDouble() / wallSeconds,
                SECONDS_PER_MINUTE * wallSeconds / growth.path("lasting_s").asDouble());
    }

    private void appendCurve(TreeMap<Integer, JsonNode> bySize, String pointer, String title, String unit)
            throws IOException {
        XYChart chart = Charts.lines(title, "engines, logarithmic", unit);
        chart.getStyler().setXAxisLogarithmic(true).setYAxisMin(0.0).setLegendVisible(false);
        chart.addSeries(
                "by size",
                bySize.keySet().stream().map(Integer::doubleValue).toList(),
                bySize.values().stream().map(run -> run.at(pointer).asDouble()).toList());
        page.chart(chart);
    }

    private XYChart latencies() {
        XYChart chart = Charts.lines(
                "Time from a call's due moment to its answer",
                "share of answered calls, per cent",
                "milliseconds, logarithmic");
        chart.getStyler().setYAxisLogarithmic(true).setLegendPosition(Styler.LegendPosition.OutsideE);
        runs.entrySet().stream().limit(MAX_CHARTED).forEach(run -> addLatency(chart, run.getKey(), run.getValue()));
        return chart;
    }

    private static void addLatency(XYChart chart, String name, JsonNode run) {
        List<Double> percentiles = new ArrayList<>();
        List<Double> millis = new ArrayList<>();
        run.path("latency_ms").properties().forEach(point -> {
            percentiles.add(Double.parseDouble(point.getKey()));
            millis.add(Math.max(MIN_LATENCY_MILLIS, point.getValue().asDouble()));
        });
        if (!percentiles.isEmpty()) {
            chart.addSeries(name, percentiles, millis);
        }
    }
}
