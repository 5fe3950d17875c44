package pearladder.testbed;

import java.util.List;
import java.util.Map;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Charts of one size for the pages of reports. */
final class Charts {
    private static final int WIDTH_PIXELS = 1100;
    private static final int HEIGHT_PIXELS = 420;

    private Charts() {}

    /** An empty chart of values over values. */
    static XYChart lines(String title, String xTitle, String yTitle) {
        return new XYChartBuilder()
                .width(WIDTH_PIXELS)
                .height(HEIGHT_PIXELS)
                .title(title)
                .xAxisTitle(xTitle)
                .yAxisTitle(yTitle)
                .build();
    }

    /** A chart over the seconds of a scenario, with a legend beside it. */
    static XYChart overTime(String title, String yTitle) {
        XYChart chart = lines(title, "seconds of the day", yTitle);
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        return chart;
    }

    /** Adds a line without markers. */
    static void addLine(XYChart chart, String name, List<Double> x, List<Double> y) {
        chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
    }

    /** A chart of stacked bars: by series, by the label below the bar. */
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

    /** An empty chart of bars. */
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
