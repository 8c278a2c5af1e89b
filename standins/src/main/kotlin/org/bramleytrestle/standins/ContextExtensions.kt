package org.bramleytrestle.standins

import io.javalin.http.Context

internal const val OK = 200

internal inline fun <reified T> Context.sendJson(body: T, status: Int = OK) {
    status(status).contentType("application/json").result(WireJson.encodeToString(body))
}

internal fun Context.attemptParam(): Int = queryParam("attempt")?.toIntOrNull() ?: 0
