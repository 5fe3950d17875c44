package pearladder.testbed;

import com.fasterxml.jackson.databind.JsonNode;
import java.awt.Color;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** The section of a report about one run. */
final class RunSection {
    /** Upper end of the share axis: slightly above the maximum of 1, so that a line there is visible. */
    private static final double SHARE_AXIS_MAX = 1.05;

    private static final Color FAULT_COLOR = new Color(200, 90, 60, 140);

    private final HtmlPage page;
    private final String name;
    private final JsonNode run;
    /** Start times of the windows, in seconds. */
    private final List<Double> starts;

    RunSection(HtmlPage page, String name, JsonNode run) {
        this.page = page;
        this.name = name;
        this.run = run;
        this.starts = column("from_s");
    }

    void append() throws IOException {
        page.markup("<h2>").text(name).markup("</h2>");
        if (starts.isEmpty()) {
            return;
        }
        page.chart(credit());
        appendFaults();
        page.chart(workers());
        page.chart(loads());
        appendVersions();
        appendRejectionCauses();
        appendLogs();
        page.markup("<pre>");
        appendLines("table");
        page.markup("</pre>");
    }

    /** Returns the value of a key in each window. */
    private List<Double> column(String key) {
        return column(window -> window.path(key).asDouble());
    }

    private List<Double> column(ToDoubleFunction<JsonNode> figure) {
        List<Double> figures = new ArrayList<>();
        run.path("windows").forEach(window -> figures.add(figure.applyAsDouble(window)));
        return figures;
    }

    private List<Double> perSecond(String key) {
        return column(window -> window.path(key).asDouble() / LoadStatistics.WINDOW_SECONDS);
    }

    private XYChart credit() {
        XYChart chart = Charts.lines(
                "Credit, by ten seconds; troubles begin at the marks",
                "seconds of the day",
                "credit earned of credit asked for");
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(SHARE_AXIS_MAX).setLegendVisible(false);
        Charts.addLine(chart, "credit", starts, column("credit"));
        int number = 0;
        for (JsonNode fault : run.path("troubles")) {
            double at = fault.path("at_s").asDouble();
            XYSeries faultLine = chart.addSeries("trouble " + number++, List.of(at, at), List.of(0.0, SHARE_AXIS_MAX));
            faultLine.setMarker(SeriesMarkers.NONE).setLineColor(FAULT_COLOR).setLineWidth(1);
        }
        return chart;
    }

    private void appendFaults() {
        JsonNode faults = run.path("troubles");
        if (faults.isEmpty()) {
            return;
        }
        page.markup("<table><tr><th>at<th>trouble</tr>");
        faults.forEach(fault -> page.markup(String.format(
                Locale.ROOT,
                "<tr><td>%.0f s<td style=\"text-align:left\">%s</tr>",
                fault.path("at_s").asDouble(),
                HtmlPage.escaped(fault.path("what").asText()))));
        page.markup("</table>");
    }

    private XYChart workers() {
        XYChart chart = Charts.overTime("At the engines", "a second");
        Charts.addLine(chart, "legs", starts, perSecond("legs"));
        Charts.addLine(chart, "refused", starts, perSecond("refused"));
        Charts.addLine(chart, "orders", starts, perSecond("orders"));
        return chart;
    }

    private XYChart loads() {
        XYChart chart = Charts.overTime("Loads, and the copies that stood", "in ten seconds; copies at their end");
        chart.getStyler().setYAxisMin(0.0);
        Charts.addLine(chart, "copies", starts, column("copies"));
        Charts.addLine(chart, "loads", starts, column("loads"));
        Charts.addLine(chart, "loads failed", starts, column("loads_failed"));
        return chart;
    }

    /** Appended only if some answers came from a version. */
    private void appendVersions() throws IOException {
        double byVersion = column("settled_by_version").stream()
                .mapToDouble(count -> count)
                .sum();
        if (byVersion <= 0) {
            return;
        }
        XYChart chart =
                Charts.lines("Answers that came from a new version", "seconds of the day", "share of settled answers");
        chart.getStyler().setYAxisMin(0.0).setYAxisMax(SHARE_AXIS_MAX).setLegendVisible(false);
        List<Double> shares = column(window -> window.path("settled_by_version").asDouble()
                / Math.max(1, window.path("settled").asDouble()));
        Charts.addLine(chart, "share", starts, shares);
        page.chart(chart);
    }

    private void appendRejectionCauses() {
        JsonNode causes = run.path("dismissed_because");
        if (causes.isEmpty()) {
            return;
        }
        page.markup("<table><tr><th>tries dismissed because<th>count</tr>");
        causes.properties().forEach(cause -> page.markup("<tr><td>")
                .text(cause.getKey())
                .markup("<td>" + cause.getValue().asLong() + "</tr>"));
        page.markup("</table>");
    }

    /** Appends what the routers would have logged; only simulations record it. */
    private void appendLogs() {
        JsonNode lines = run.path("staff");
        if (lines.isEmpty()) {
            return;
        }
        page.markup("<details><summary>What staff would see in the routers' logs: " + lines.size()
                + " lines</summary><pre>");
        appendLines("staff");
        page.markup("</pre></details>");
    }

    private void appendLines(String key) {
        run.path(key).forEach(line -> page.text(line.asText()).markup("\n"));
    }
}
