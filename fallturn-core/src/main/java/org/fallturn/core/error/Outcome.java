package org.fallturn.core.error;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What the caller may conclude about the work behind an error. */
public enum Outcome {
  /** No back end can have seen the request; the caller may send it again. */
  @JsonProperty("not-run")
  NOT_RUN,
  /** A back end may have run the request, wholly or in part. */
  @JsonProperty("outcome-unknown")
  OUTCOME_UNKNOWN
}
