package org.fallturn.rehearsal.scale;

import java.util.List;

/**
 * Straight line through points by least squares.
 *
 * @param perUnit its slope
 * @param atZero its value at zero
 * @param largestResidual the largest distance of a point from it
 */
record Slope(double perUnit, double atZero, double largestResidual) {

  /** A point. */
  record Point(double x, double y) {}

  /** The line through points; level when there are not two of different x. */
  static Slope through(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElse(0);
    double meanY = points.stream().mapToDouble(Point::y).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Point point : points) {
      covariance += (point.x() - meanX) * (point.y() - meanY);
      variance += (point.x() - meanX) * (point.x() - meanX);
    }
    double slope = variance > 0 ? covariance / variance : 0;
    double base = meanY - slope * meanX;
    double residual =
        points.stream().mapToDouble(p -> Math.abs(p.y() - base - slope * p.x())).max().orElse(0);
    return new Slope(slope, base, residual);
  }

  /** Its value at x. */
  double at(double x) {
    return atZero + perUnit * x;
  }
}
