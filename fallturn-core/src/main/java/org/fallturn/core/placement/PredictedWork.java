package org.fallturn.core.placement;

/**
 * What a prediction of a request's end rests on, so that it can be made again with what the cost
 * model has learned since.
 *
 * @param prefillTokens prompt tokens to compute until the prompt is done, those ahead included
 * @param transferSeconds time to hand the KV cache over
 * @param outputTokens tokens to generate
 * @param batch size of the decode engine's batch with the request
 */
record PredictedWork(long prefillTokens, double transferSeconds, int outputTokens, int batch) {
  double seconds(CostModel costs) {
    return costs.prefillSeconds(prefillTokens)
        + transferSeconds
        + costs.decodeSeconds(outputTokens, batch);
  }
}
