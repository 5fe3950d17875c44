package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import java.awt.Color;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** One page that stands alone, made from the results of a day or of an experiment's runs: tables and charts. */
public final class Report {
    private static final int WIDTH = 1100;
    private static final int HEIGHT = 420;
    private static final int COMPARED = 12;

    private final StringBuilder page = new StringBuilder();

    private Report() {}

    /** Writes report.html into a folder that holds results, of its own or in folders below it. */
    public static Path write(Path folder) throws IOException {
        Map<String, JsonNode> runs = Results.below(folder);
        if (runs.isEmpty()) {
            throw new IOException(
                    folder + ": no results.json there or in a folder below; run day, replay or experiment first");
        }
        Path file = folder.resolve("report.html");
        Files.writeString(file, new Report().page(folder.getFileName().toString(), runs));
        return file;
    }

    /** A page with one chart of stacked bars: by series, by what stands below the bar. */
    public static void bars(Path file, String title, String unit, Map<String, Map<String, Double>> series)
            throws IOException {
        List<String> below = series.values().stream()
                .flatMap(one -> one.keySet().stream())
                .distinct()
                .sorted()
                .toList();
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setStacked(true).setLegendPosition(Styler.LegendPosition.OutsideE);
        series.forEach((name, values) -> chart.addSeries(
                name,
                below,
                below.stream().map(one -> values.getOrDefault(one, 0.0)).toList()));
        Report report = new Report();
        report.page
                .append("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
                .append(escaped(title))
                .append("</title><h1>")
                .append(escaped(title))
                .append("</h1>");
        if (!below.isEmpty()) {
            report.chart(chart);
        }
        Files.writeString(file, report.page.append("</html>\n"));
    }

    private String page(String name, Map<String, JsonNode> runs) throws IOException {
        page.append("<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>")
                .append(escaped(name))
                .append("</title><style>body{font:15px/1.45 sans-serif;max-width:1140px;margin:2em auto;padding:0 1em}"
                        + "table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;border-bottom:1px solid #ccc;"
                        + "text-align:right}td:first-child,th:first-child{text-align:left}img{max-width:100%}"
                        + "pre{font-size:12px;overflow-x:auto}.broken{color:#b00;font-weight:bold}</style><h1>")
                .append(escaped(name))
                .append("</h1><p>Stand-ins on one machine, over loopback: figures of a model, never of"
                        + " real engines.</p>");
        overview(runs);
        if (runs.size() > 1) {
            groups(runs);
            chart(latency(runs));
            growth(runs);
        }
        for (Map.Entry<String, JsonNode> run : runs.entrySet()) {
            one(run.getKey(), run.getValue());
        }
        return page.append("</html>\n").toString();
    }

    private void overview(Map<String, JsonNode> runs) {
        page.append("<table><tr><th>run<th>engines<th>routers<th>calls<th>credit<th>worst 10 s<th>p50 ms<th>p99 ms"
                + "<th>dismissed<th>terminated<th>generator late, p99 ms<th>rules</tr>");
        runs.forEach((name, run) -> {
            long broken = run.path("breaches").asLong();
            page.append(String.format(
                    Locale.ROOT,
                    "<tr><td>%s<td>%d<td>%d<td>%d<td>%.3f<td>%.3f<td>%.1f<td>%.1f<td>%d<td>%d" + "<td>%.1f<td%s</tr>",
                    escaped(name),
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
                    broken == 0 ? ">kept" : " class=broken>broken " + broken + " times"));
        });
        page.append("</table>");
    }

    /** Runs that differ only in their seed ("name.s1", "name.s2"): the mean and the spread. */
    private void groups(Map<String, JsonNode> runs) throws IOException {
        Map<String, List<Double>> credit = new TreeMap<>();
        runs.forEach((name, run) -> credit.computeIfAbsent(name.replaceFirst("\\.s[0-9]+$", ""), n -> new ArrayList<>())
                .add(run.path("credit").asDouble()));
        page.append("<h2>Compared</h2><table><tr><th>what<th>runs<th>mean credit<th>lowest<th>highest</tr>");
        credit.forEach((name, values) -> page.append(String.format(
                Locale.ROOT,
                "<tr><td>%s<td>%d<td>%.3f<td>%.3f<td>%.3f</tr>",
                escaped(name),
                values.size(),
                mean(values),
                values.stream().mapToDouble(v -> v).min().orElse(0),
                values.stream().mapToDouble(v -> v).max().orElse(0))));
        page.append("</table>");
        if (credit.size() > COMPARED) {
            return;
        }
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Mean credit, with the spread over seeds")
                .xAxisTitle("run")
                .yAxisTitle("credit earned of credit asked for")
                .build();
        chart.getStyler().setXAxisLabelRotation(30);
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0).setLegendVisible(false);
        chart.addSeries(
                        "credit",
                        new ArrayList<>(credit.keySet()),
                        credit.values().stream().map(Report::mean).toList(),
                        credit.values().stream()
                                .map(values -> values.stream()
                                        .mapToDouble(v -> Math.abs(v - mean(values)))
                                        .max()
                                        .orElse(0))
                                .toList())
                .setFillColor(new Color(70, 120, 170));
        chart(chart);
    }

    /** Only of rehearsals of one day at several sizes: what grows with the fleet. */
    private void growth(Map<String, JsonNode> runs) throws IOException {
        TreeMap<Integer, JsonNode> bySize = new TreeMap<>();
        runs.values().stream()
                .filter(run -> run.has("growth"))
                .forEach(run -> bySize.put(run.path("engines").asInt(), run));
        if (bySize.size() < 2) {
            return;
        }
        page.append(
                "<h2>What grows with the fleet</h2><table><tr><th>engines<th>routers<th>credit<th>loads for 1000 calls"
                        + "<th>a decision, us<th>decisions, share of a router's core<th>list entries a second and router"
                        + "<th>events a second<th>wall, s, for a minute</tr>");
        bySize.forEach((engines, run) -> {
            JsonNode grown = run.path("growth");
            page.append(String.format(
                    Locale.ROOT,
                    "<tr><td>%d<td>%d<td>%.3f<td>%.1f<td>%.1f<td>%.4f<td>%.1f<td>%.0f<td>%.1f</tr>",
                    engines,
                    run.path("routers").asInt(),
                    run.path("credit").asDouble(),
                    grown.path("loads_per_1000").asDouble(),
                    grown.path("decision_us").asDouble(),
                    grown.path("decided_share").asDouble(),
                    grown.path("told_per_second").asDouble(),
                    grown.path("events").asDouble() / grown.path("wall_s").asDouble(),
                    60
                            * grown.path("wall_s").asDouble()
                            / grown.path("lasting_s").asDouble()));
        });
        page.append("</table>");
        curve(bySize, "/credit", "Credit", "credit earned of credit asked for");
        curve(bySize, "/growth/loads_per_1000", "Loads for each 1000 calls", "loads");
        curve(bySize, "/growth/decided_share", "What decisions take of a router's core", "share");
        curve(bySize, "/growth/told_per_second", "List traffic to each router", "entries a second");
    }

    private void curve(TreeMap<Integer, JsonNode> bySize, String figure, String title, String unit) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("engines, logarithmic")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisMin(0.0).setLegendVisible(false);
        chart.addSeries(
                "by size",
                bySize.keySet().stream().map(Integer::doubleValue).toList(),
                bySize.values().stream().map(run -> run.at(figure).asDouble()).toList());
        chart(chart);
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(v -> v).average().orElse(0);
    }

    private static XYChart latency(Map<String, JsonNode> runs) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Time from a call's due moment to its answer")
                .xAxisTitle("share of answered calls, per cent")
                .yAxisTitle("milliseconds, logarithmic")
                .build();
        chart.getStyler().setYAxisLogarithmic(true).setLegendPosition(Styler.LegendPosition.OutsideE);
        runs.entrySet().stream().limit(COMPARED).forEach(run -> addLatency(chart, run.getKey(), run.getValue()));
        return chart;
    }

    private static void addLatency(XYChart chart, String name, JsonNode run) {
        List<Double> shares = new ArrayList<>();
        List<Double> millis = new ArrayList<>();
        run.path("latency_ms").properties().forEach(point -> {
            shares.add(Double.parseDouble(point.getKey()));
            millis.add(Math.max(0.1, point.getValue().asDouble()));
        });
        if (!shares.isEmpty()) {
            chart.addSeries(name, shares, millis);
        }
    }

    private void one(String name, JsonNode run) throws IOException {
        page.append("<h2>").append(escaped(name)).append("</h2>");
        XYChart credit = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Credit, by ten seconds; troubles begin at the" + " marks")
                .xAxisTitle("seconds of the day")
                .yAxisTitle("credit earned of credit asked for")
                .build();
        credit.getStyler().setYAxisMin(0.0).setYAxisMax(1.05).setLegendVisible(false);
        List<Double> from = new ArrayList<>();
        List<Double> earned = new ArrayList<>();
        List<Double> legs = new ArrayList<>();
        List<Double> orders = new ArrayList<>();
        List<Double> refused = new ArrayList<>();
        for (JsonNode window : run.path("windows")) {
            from.add(window.path("from_s").asDouble());
            earned.add(window.path("credit").asDouble());
            legs.add(window.path("legs").asDouble() / 10);
            orders.add(window.path("orders").asDouble() / 10);
            refused.add(window.path("refused").asDouble() / 10);
        }
        if (from.isEmpty()) {
            return;
        }
        credit.addSeries("credit", from, earned).setMarker(SeriesMarkers.NONE);
        int number = 0;
        for (JsonNode trouble : run.path("troubles")) {
            double at = trouble.path("at_s").asDouble();
            XYSeries line = credit.addSeries("trouble " + number++, List.of(at, at), List.of(0.0, 1.05));
            line.setMarker(SeriesMarkers.NONE)
                    .setLineColor(new Color(200, 90, 60, 140))
                    .setLineWidth(1);
        }
        chart(credit);
        troubles(run);
        XYChart work = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("At the engines")
                .xAxisTitle("seconds of the day")
                .yAxisTitle("a second")
                .build();
        work.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        work.addSeries("legs", from, legs).setMarker(SeriesMarkers.NONE);
        work.addSeries("refused", from, refused).setMarker(SeriesMarkers.NONE);
        work.addSeries("orders", from, orders).setMarker(SeriesMarkers.NONE);
        chart(work);
        copies(run, from);
        versions(run, from);
        causes(run);
        staff(run);
        page.append("<pre>");
        run.path("table").forEach(line -> page.append(escaped(line.asText())).append('\n'));
        page.append("</pre>");
    }

    private void copies(JsonNode run, List<Double> from) throws IOException {
        List<Double> copies = new ArrayList<>();
        List<Double> loads = new ArrayList<>();
        List<Double> failed = new ArrayList<>();
        for (JsonNode window : run.path("windows")) {
            copies.add(window.path("copies").asDouble());
            loads.add(window.path("loads").asDouble());
            failed.add(window.path("loads_failed").asDouble());
        }
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title("Loads, and the copies that stood")
                .xAxisTitle("seconds of the day")
                .yAxisTitle("in ten seconds; copies at their end")
                .build();
        chart.getStyler().setYAxisMin(0.0).setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.addSeries("copies", from, copies).setMarker(SeriesMarkers.NONE);
        chart.addSeries("loads", from, loads).setMarker(SeriesMarkers.NONE);
        chart.addSeries("loads failed", from, failed).setMarker(SeriesMarkers.NONE);
        chart(chart);
    }

    /** Only where some answers came from a version. */
    private void versions(JsonNode run, List<Double> from) throws IOException {
        List<Double> shares = new ArrayList<>();
        double any = 0;
        for (JsonNode window : run.path("windows")) {
            double byVersion = window.path("settled_by_version").asDouble();
            shares.add(byVersion / Math.max(1, window.path("settled").asDouble()));
            any += byVersion;
        }
        if (any > 0) {
            XYChart chart = new XYChartBuilder()
                    .width(WIDTH)
                    .height(HEIGHT)
                    .title("Answers that came from a new version")
                    .xAxisTitle("seconds of the day")
                    .yAxisTitle("share of settled answers")
                    .build();
            chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.05).setLegendVisible(false);
            chart.addSeries("share", from, shares).setMarker(SeriesMarkers.NONE);
            chart(chart);
        }
    }

    /** Only of a rehearsal: what the routers would have logged. */
    private void staff(JsonNode run) {
        if (!run.path("staff").isEmpty()) {
            page.append("<details><summary>What staff would see in the routers' logs: ")
                    .append(run.path("staff").size())
                    .append(" lines</summary><pre>");
            run.path("staff")
                    .forEach(line -> page.append(escaped(line.asText())).append('\n'));
            page.append("</pre></details>");
        }
    }

    private void causes(JsonNode run) {
        if (!run.path("dismissed_because").isEmpty()) {
            page.append("<table><tr><th>tries dismissed because<th>count</tr>");
            run.path("dismissed_because").properties().forEach(cause -> page.append("<tr><td>")
                    .append(escaped(cause.getKey()))
                    .append("<td>")
                    .append(cause.getValue().asLong())
                    .append("</tr>"));
            page.append("</table>");
        }
    }

    private void troubles(JsonNode run) {
        if (!run.path("troubles").isEmpty()) {
            page.append("<table><tr><th>at<th>trouble</tr>");
            run.path("troubles")
                    .forEach(trouble -> page.append(String.format(
                            Locale.ROOT,
                            "<tr><td>%.0f s<td style=\"text-align:" + "left\">%s</tr>",
                            trouble.path("at_s").asDouble(),
                            escaped(trouble.path("what").asText()))));
            page.append("</table>");
        }
    }

    private void chart(Chart<?, ?> chart) throws IOException {
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        ByteArrayOutputStream image = new ByteArrayOutputStream();
        BitmapEncoder.saveBitmap(chart, image, BitmapEncoder.BitmapFormat.PNG);
        page.append("<p><img alt=\"")
                .append(escaped(chart.getTitle()))
                .append("\" src=\"data:image/png;base64,")
                .append(Base64.getEncoder().encodeToString(image.toByteArray()))
                .append("\">");
    }

    private static String escaped(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
