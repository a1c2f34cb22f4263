package org.jacinthlink.api

/** Result of an operation that fails with a numbered code. */
sealed interface Outcome<out T>

/** The operation succeeded. */
data class Success<out T>(val value: T) : Outcome<T>

/** The operation failed with [code]; [message] describes the error and includes the wrong value. */
data class Failure(val code: ResultCode, val message: String) : Outcome<Nothing>
