package org.fallturn.rehearsal.overhead;

/**
 * What one measurement gave. Times in milliseconds.
 *
 * @param requestsPerSecond rate of the latency rounds
 * @param requestsEachWay requests of the latency rounds, straight and through the node each
 * @param promptWords words of each prompt
 * @param outputTokens most tokens of each answer of the latency rounds
 * @param directFirstToken straight to the engines, to the first token
 * @param nodeFirstToken through the node, to the first token
 * @param directWhole straight to the engines, to the end of the answer
 * @param nodeWhole through the node, to the end of the answer
 * @param addedP99Millis what the node adds to the 99th percentile of the whole answer
 * @param nodeProcessorMillisPerRequest processor time of the node for one request
 * @param directTokensPerSecond tokens streamed at once straight from the engines
 * @param nodeTokensPerSecond tokens streamed at once through the node
 * @param tokensPerProcessorSecond tokens through the node for a second of its processor time
 * @param nodeHeapPeakBytes highest heap use seen, garbage included
 * @param failed requests without a whole and right answer
 */
public record OverheadReport(
    double requestsPerSecond,
    int requestsEachWay,
    int promptWords,
    int outputTokens,
    Latency directFirstToken,
    Latency nodeFirstToken,
    Latency directWhole,
    Latency nodeWhole,
    double addedP99Millis,
    double nodeProcessorMillisPerRequest,
    double directTokensPerSecond,
    double nodeTokensPerSecond,
    double tokensPerProcessorSecond,
    long nodeHeapPeakBytes,
    int failed) {

  /**
   * Percentiles.
   *
   * @param p50 the median
   * @param p95 the 95th percentile
   * @param p99 the 99th percentile
   */
  public record Latency(double p50, double p95, double p99) {}
}
