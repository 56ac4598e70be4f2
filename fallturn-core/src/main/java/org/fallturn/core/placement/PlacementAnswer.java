package org.fallturn.core.placement;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;
import org.fallturn.core.domain.Epoch;
import org.fallturn.core.domain.PoolId;
import org.fallturn.core.error.ErrorKind;

/** The leader's answer to a {@link PlacementRequest}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = PlacementAnswer.Placed.class, name = "placed"),
  @JsonSubTypes.Type(value = PlacementAnswer.Refused.class, name = "refused"),
  @JsonSubTypes.Type(value = PlacementAnswer.NotLeader.class, name = "not-leader")
})
public sealed interface PlacementAnswer {

  /**
   * The request may run now.
   *
   * @param pool the pool it runs in
   * @param epoch the leadership that decided
   * @param prefill where to compute the prompt; absent when the decode engine does it all
   * @param decode where to generate
   */
  record Placed(PoolId pool, Epoch epoch, Optional<EngineTarget> prefill, EngineTarget decode)
      implements PlacementAnswer {}

  /**
   * The request cannot run in this pool. It did not run.
   *
   * @param kind NO_CAPACITY or DEADLINE_UNREACHABLE
   * @param message one sentence for the caller
   * @param retryAfterMillis when coming back makes sense
   */
  record Refused(ErrorKind kind, String message, long retryAfterMillis)
      implements PlacementAnswer {}

  /** The node asked does not lead the pool; ask again after looking up the leader. */
  record NotLeader() implements PlacementAnswer {}
}
