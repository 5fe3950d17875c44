package pearladder.testbed;

import java.util.List;
import java.util.Map;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Creates charts of a uniform size for report pages. */
final class Charts {
    private static final int WIDTH_PIXELS = 1100;
    private static final int HEIGHT_PIXELS = 420;

    private Charts() {}

    /** Returns an empty line chart. */
    static XYChart lines(String title, String xTitle, String yTitle) {
        return new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
    }

    /** Returns an empty line chart over the seconds of a scenario, with a legend beside it. */
    static XYChart overTime(String title, String yTitle) {
        XYChart chart = lines(title, "seconds of the day", yTitle);
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        return chart;
    }

    /** Adds a line without markers. */
    static void addLine(XYChart chart, String name, List<Double> x, List<Double> y) {
        chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
    }

    /** Returns a chart of stacked bars; the values are given by series, then by the label below the bar. */
    static CategoryChart stackedBars(
            String title, String unit, List<String> labels, Map<String, Map<String, Double>> series) {
        CategoryChart chart = new CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(title)
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setStacked(true).setLegendPosition(Styler.LegendPosition.OutsideE);
        series.forEach((name, values) -> chart.addSeries(
                name,
                labels,
                labels.stream().map(label -> values.getOrDefault(label, 0.0)).toList()));
        return chart;
    }

    /** Returns an empty bar chart. */
    static CategoryChart bars(String title, String xTitle, String yTitle) {
        return new CategoryChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
    }
}
