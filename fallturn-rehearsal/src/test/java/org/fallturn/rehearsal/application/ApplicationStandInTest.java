package org.fallturn.rehearsal.application;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.concurrent.ExecutionException;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class ApplicationStandInTest {

  private ApplicationStandIn application;
  private HttpClient http;

  @BeforeEach
  void start() throws Exception {
    application = new ApplicationStandIn(ApplicationSettings.defaults("stock-1")).start();
    http = new HttpClient();
    http.start();
  }

  @AfterEach
  void stop() throws Exception {
    http.stop();
    application.close();
  }

  @Test
  void answerEchoesTheRequestAndIsCountedByKey() throws Exception {
    assertThat(reserve("k1").getContentAsString())
        .isEqualTo(ApplicationStandIn.answer("POST", "/services/stock/reserve", "egg"));
    reserve("k1");
    reserve("k2");
    assertThat(application.counts().perKey()).containsEntry("k1", 2).containsEntry("k2", 1);
    assertThat(application.counts().doubled()).isOne();
  }

  @Test
  void cutBeforeExecutionIsNotCounted() {
    application.behave(new ApplicationControl(0, false, 1, 0, 0));
    assertThatThrownBy(() -> reserve("k1")).isInstanceOf(ExecutionException.class);
    assertThat(application.counts().executions()).isZero();
  }

  @Test
  void cutAfterExecutionIsCounted() {
    application.behave(new ApplicationControl(0, false, 0, 1, 0));
    assertThatThrownBy(() -> reserve("k1")).isInstanceOf(ExecutionException.class);
    assertThat(application.counts().perKey()).containsEntry("k1", 1);
  }

  @Test
  void leavingApplicationRefusesUnexecuted() throws Exception {
    application.behave(new ApplicationControl(0, true, 0, 0, 0));
    assertThat(reserve("k1").getStatus()).isEqualTo(503);
    assertThat(application.counts().executions()).isZero();
  }

  private ContentResponse reserve(String key) throws Exception {
    return http.newRequest("http://" + application.address() + "/services/stock/reserve")
        .method("POST")
        .headers(headers -> headers.put(ApplicationStandIn.BUSINESS_KEY_HEADER, key))
        .body(new StringRequestContent("egg"))
        .send();
  }
}
