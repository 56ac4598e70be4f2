package org.fallturn.rehearsal.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries.XYSeriesRenderStyle;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Makes and saves the experiments' charts. Stateless. */
public final class Plots {
  private static final int WIDTH = 1000;
  private static final int HEIGHT = 500;

  private Plots() {}

  /** A chart whose series are lines without markers. */
  public static XYChart lines(String title, String xTitle, String yTitle) {
    XYChart chart = chart(title, xTitle, yTitle);
    chart.getStyler().setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Line);
    return chart;
  }

  /** A chart whose series are points. */
  public static XYChart points(String title, String xTitle, String yTitle) {
    XYChart chart = chart(title, xTitle, yTitle);
    chart.getStyler().setDefaultSeriesRenderStyle(XYSeriesRenderStyle.Scatter);
    return chart;
  }

  private static XYChart chart(String title, String xTitle, String yTitle) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(xTitle)
            .yAxisTitle(yTitle)
            .build();
    chart.getStyler().setLegendPosition(LegendPosition.OutsideE);
    return chart;
  }

  /** Adds a line. */
  public static void addLine(XYChart chart, String name, List<Double> x, List<Double> y) {
    chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
  }

  /** Saves charts below each other as one PNG file. */
  public static void save(List<XYChart> charts, Path file) throws IOException {
    BitmapEncoder.saveBitmap(
        charts, charts.size(), 1, file.toString(), BitmapEncoder.BitmapFormat.PNG);
  }
}
